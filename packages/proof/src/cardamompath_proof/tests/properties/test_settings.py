import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies
from returns import pipeline

from cardamompath_proof.tests.properties import checked
from cardamompathd.settings import loading
from cardamompathd.settings import table

KNOWN = [(one.section, one.key) for one in table.TABLE]
words = strategies.from_regex(r"[a-z_]{1,10}", fullmatch=True)
values = (
    strategies.integers(-10, 10**9).map(str)
    | strategies.floats().map(str)
    | strategies.from_regex(r"[\x21-\x7e]{0,12}", fullmatch=True)
    | strategies.sampled_from(("127.0.0.1:80", "[::1]:99999", "INFO", "é"))
)
files = strategies.dictionaries(
    strategies.sampled_from(KNOWN) | strategies.tuples(words, words),
    values,
    max_size=12,
)


def load(folder, given):
    sections = {}
    for (section, key), value in given.items():
        sections.setdefault(section, []).append(f"{key} = {value}\n")
    text = "".join(
        f"[{name}]\n{''.join(lines)}" for name, lines in sections.items()
    )
    file = pathlib.Path(folder, "given.ini")
    file.write_text(text, encoding="utf-8")
    return loading.load([str(file)])


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    @checked.checked
    @hypothesis.given(files)
    def test_values_are_checked_or_every_fault_is_named(self, given):
        loaded = load(self.folder, given)
        if pipeline.is_successful(loaded):
            for one in table.TABLE:
                value = loaded.unwrap()[one.section, one.key]
                self.assertTrue(one.check(value), (one.key, value))
            return
        faults = loaded.failure()
        named = {(one.section, one.key) for one in faults}
        self.assertTrue(all(one.allowed for one in faults))
        if not any(one.section == "" for one in faults):
            self.assertLessEqual(set(given) - set(KNOWN), named)

    @checked.checked
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_are_settings_or_faults(self, raw):
        file = pathlib.Path(self.folder, "raw.ini")
        file.write_bytes(raw)
        loaded = loading.load([str(file)])
        self.assertFalse(pipeline.is_successful(loaded))
        self.assertTrue(loaded.failure())
