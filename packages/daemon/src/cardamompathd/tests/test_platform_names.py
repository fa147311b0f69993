"""Names of the platform stay in its adapter."""

import pathlib
import re
import unittest

import cardamompath_core
import cardamompathd

NAMES = re.compile(
    r"ack_index|run-start|run-stop|keyed\.|log-(append|read|newest|join)"
    r"|ended_runs|est_runtime_ms|expires_ms|X-Cardamompath"
    r"|CARDAMOMPATH_SETTINGS|gang_timeout_ms|config_apply_ms|cloud_api"
    r"|fencing_token|clock_ms|path_prefix|max_attempts_ms|hold_max_ms"
)


def sources():
    for package in (cardamompath_core, cardamompathd):
        folder = pathlib.Path(package.__file__).parent
        for path in sorted(folder.rglob("*.py")):
            parts = path.relative_to(folder).parts
            if "tests" not in parts and parts[0] != "platform":
                yield path


class PlatformNamesTest(unittest.TestCase):
    def test_no_source_outside_the_adapter_knows_a_name(self):
        found = [
            f"{path.name}:{number}"
            for path in sources()
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if NAMES.search(line)
        ]
        self.assertEqual(found, [])

    def test_no_module_but_the_adapter_imports_it(self):
        pattern = re.compile(r"cardamompathd(\.| import )platform")
        found = [
            str(path.name)
            for path in sources()
            if pattern.search(path.read_text())
        ]
        self.assertEqual(found, [])
