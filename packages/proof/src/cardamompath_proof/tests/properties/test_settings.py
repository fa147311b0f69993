import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
from returns import pipeline

from cardamompath_proof.tests.properties import shared
from cardamompathd.settings import loading
from cardamompathd.settings import table

KNOWN_KEYS = [(setting.section, setting.key) for setting in table.TABLE]
words = strategies.from_regex(r"[a-z_]{1,10}", fullmatch=True)
values = (
    strategies.integers(-10, 10**9).map(str)
    | strategies.floats().map(str)
    | strategies.from_regex(r"[\x21-\x7e]{0,12}", fullmatch=True)
    | strategies.sampled_from(("127.0.0.1:80", "[::1]:99999", "INFO", "é"))
)
files = strategies.dictionaries(
    strategies.sampled_from(KNOWN_KEYS) | strategies.tuples(words, words),
    values,
    max_size=12,
)


def load(folder, contents):
    sections = {}
    for (section, key), value in contents.items():
        sections.setdefault(section, []).append(f"{key} = {value}\n")
    text = "".join(
        f"[{name}]\n{''.join(lines)}" for name, lines in sections.items()
    )
    file = pathlib.Path(folder, "settings.ini")
    file.write_text(text, encoding="utf-8")
    return loading.load([str(file)])


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    @shared.deterministic
    @hypothesis.given(files)
    def test_values_are_valid_or_every_fault_is_reported(self, contents):
        loaded = load(self.folder, contents)
        if pipeline.is_successful(loaded):
            for setting in table.TABLE:
                value = loaded.unwrap()[setting.section, setting.key]
                self.assertTrue(setting.check(value), (setting.key, value))
            return
        faults = loaded.failure()
        reported = {(fault.section, fault.key) for fault in faults}
        self.assertTrue(all(fault.allowed for fault in faults))
        if not any(fault.section == "" for fault in faults):
            self.assertLessEqual(set(contents) - set(KNOWN_KEYS), reported)

    @shared.deterministic
    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_are_reported_as_faults(self, raw):
        file = pathlib.Path(self.folder, "raw.ini")
        file.write_bytes(raw)
        loaded = loading.load([str(file)])
        self.assertFalse(pipeline.is_successful(loaded))
        self.assertTrue(loaded.failure())
