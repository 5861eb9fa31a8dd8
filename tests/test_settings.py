import tempfile
import unittest
from pathlib import Path

from bergamothill.process.settings import load_settings
from tests.builders import settings_text


class LoadSettingsTests(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.toml"
            path.write_text(text)
            return load_settings(path)

    def faults(self, text):
        with self.assertRaises(ExceptionGroup) as caught:
            self.load(text)
        return {fault.key: fault for fault in caught.exception.exceptions}

    def test_missing_keys_get_their_defaults(self):
        settings = self.load(settings_text())
        self.assertEqual("info", settings.log_level)
        self.assertEqual("entry-1", settings.entry_id)

    def test_all_faults_are_reported_together(self):
        text = settings_text(id="not a name!", kvs_address="localhost:80")
        faults = self.faults(text + "\n[drain]\nnotice_ms = true\nfinsh_ms = 3\n")
        self.assertEqual(
            {"entry.id", "platform.kvs_address", "drain.notice_ms", "drain.finsh_ms"},
            set(faults),
        )
        self.assertEqual("'localhost:80'", faults["platform.kvs_address"].found)

    def test_a_secret_is_not_shown(self):
        faults = self.faults(settings_text(shared_secret="short"))
        self.assertNotIn("short", str(faults["security.shared_secret"]))

    def test_invalid_toml_is_a_single_fault(self):
        self.assertEqual({"-"}, set(self.faults("= =")))
