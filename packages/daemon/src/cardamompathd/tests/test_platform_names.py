"""Names of the users' platform appear only in its adapter.

The rest of the code stays independent of that platform.
"""

import pathlib
import re
import unittest

import cardamompath_core
import cardamompathd

PLATFORM_NAMES = re.compile(
    r"ack_index|run-start|run-stop|keyed\.|log-(append|read|newest|join)"
    r"|ended_runs|est_runtime_ms|expires_ms|X-Cardamompath"
    r"|CARDAMOMPATH_SETTINGS|gang_timeout_ms|config_apply_ms|cloud_api"
    r"|evacuate_ms|evacuate/"
    r"|fencing_token|clock_ms|path_prefix|max_attempts_ms|hold_max_ms"
)


def source_paths():
    for package in (cardamompath_core, cardamompathd):
        folder = pathlib.Path(package.__file__).parent
        for path in sorted(folder.rglob("*.py")):
            parts = path.relative_to(folder).parts
            if "tests" not in parts and parts[0] != "platform":
                yield path


class PlatformNamesTest(unittest.TestCase):
    def test_no_other_module_uses_a_platform_name(self):
        uses = [
            f"{path.name}:{number}"
            for path in source_paths()
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if PLATFORM_NAMES.search(line)
        ]
        self.assertEqual(uses, [])

    def test_no_other_module_imports_the_adapter(self):
        pattern = re.compile(r"cardamompathd(\.| import )platform")
        importers = [
            str(path.name)
            for path in source_paths()
            if pattern.search(path.read_text())
        ]
        self.assertEqual(importers, [])
