"""Tests of the settings of a daemon."""

import pathlib
import re
import tempfile
import unittest

import hypothesis
from hypothesis import strategies

from citronmount.core import codes
from citronmount.service import settings
from citronmount.service import settings_faults
from citronmount.service import settings_file

_EXAMPLE = pathlib.Path("examples/settings/citronmountd.toml")
_COMMENTED_DEFAULT = re.compile(r"^# (?=[a-z_]+ = )", re.MULTILINE)
_CODES = codes.ResultCode


class SettingsTest(unittest.TestCase):
    """Loading of settings files and the faults that are found in them."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name) / "d.toml"
        self.example = _EXAMPLE.read_text(encoding="utf-8")

    def faults(self, text):
        data = text if isinstance(text, bytes) else text.encode()
        self.path.write_bytes(data)
        return settings_file.check(self.path)

    def keys_and_codes(self, text):
        return {(f.key, f.code) for f in self.faults(text)}

    def example_with(self, old, new):
        self.assertIn(old, self.example)
        return self.example.replace(old, new)

    def test_example_settings_load(self):
        loaded = settings_file.load(_EXAMPLE)
        self.assertEqual(loaded.vm.failure_domain_id, "kr-a")
        self.assertEqual(loaded.timing, settings.TimingSettings())

    def test_example_lists_every_default_value(self):
        lines = self.example.splitlines()
        without_paths = "\n".join(ln for ln in lines if "_path" not in ln)
        uncommented = _COMMENTED_DEFAULT.sub("", without_paths)
        self.path.write_text(uncommented, encoding="utf-8")
        loaded = settings_file.load(self.path)
        for section in ("limits", "timing", "logging", "retention"):
            default = type(getattr(loaded, section))()
            self.assertEqual(getattr(loaded, section), default)
            for key in default.__struct_fields__:
                self.assertRegex(self.example, rf"(?m)^# {key} = ")

    def test_each_fault_has_its_code_and_key(self):
        cases = (
            ("[timing]", "[timing]\nlease_ttl_s = 10", "timing.lease_ttl_s"),
            ("[timing]", "[timing]\ntick_ms = 'x'", "timing.tick_ms"),
            ("[timing]", "[timing]\ntick_ms = 0", "timing.tick_ms"),
            ("10.20.0.5:9000", "log.example:9000", "platform.log_address"),
            ("10.20.0.5:9000", "10.20.0.5:99999", "platform.log_address"),
            ('region = "kr-central"', "", "vm.region"),
            (":8090", ":8080", "listen.peer_address"),
            ("[limits]", "[limits]\nmax_body_bytes = true", "limits"),
            ("enabled = true", "enabled = 1", "curve.enabled"),
            ('# level = "info"', 'level = "loud"', "logging.level"),
            ('# level = "info"', 'file_path = "/no/x"', "logging.file_path"),
        )
        expected = (
            _CODES.SETTING_UNKNOWN,
            _CODES.SETTING_TYPE,
            _CODES.SETTING_RANGE,
            _CODES.SETTING_ADDRESS,
            _CODES.SETTING_ADDRESS,
            _CODES.SETTING_MISSING,
            _CODES.SETTING_RANGE,
            _CODES.SETTING_TYPE,
            _CODES.SETTING_TYPE,
            _CODES.SETTING_TYPE,
            _CODES.SETTING_FILE,
        )
        for (old, new, key), code in zip(cases, expected, strict=True):
            with self.subTest(new=new):
                (fault,) = self.faults(self.example_with(old, new))
                self.assertTrue(fault.key.startswith(key), fault)
                self.assertEqual(fault.code, code)

    def test_key_with_a_wrong_unit_suggests_the_right_one(self):
        text = self.example_with("[timing]", "[timing]\nlease_ttl_s = 10")
        (fault,) = self.faults(text)
        self.assertIn("lease_ttl_ms", fault.expected)

    def test_all_faults_are_reported_at_once(self):
        reported = self.keys_and_codes(
            "vm = 3\n[listen]\ncaller_address = 'x'\n[nope]\n"
        )
        self.assertLessEqual(
            {
                ("vm", _CODES.SETTING_TYPE),
                ("listen.caller_address", _CODES.SETTING_ADDRESS),
                ("listen.peer_address", _CODES.SETTING_MISSING),
                ("nope", _CODES.SETTING_UNKNOWN),
                ("platform.log_address", _CODES.SETTING_MISSING),
            },
            reported,
        )

    def test_load_raises_a_group_of_setting_errors(self):
        self.path.write_text("", encoding="utf-8")
        with self.assertRaises(ExceptionGroup) as caught:
            settings_file.load(self.path)
        for error in caught.exception.exceptions:
            self.assertIsInstance(error, settings_faults.SettingError)

    def test_unreadable_file_is_one_fault(self):
        for path in ("/nonexistent/x.toml", "a\0b", "."):
            (fault,) = settings_file.check(path)
            self.assertEqual(fault.code, _CODES.SETTING_FILE)

    def test_public_key_that_does_not_match_is_refused(self):
        text = self.example_with('secret_key = ")Os', 'secret_key = ")Ot')
        self.assertIn("curve.public_key", {f.key for f in self.faults(text)})

    def test_repr_does_not_contain_the_secret_key(self):
        loaded = settings_file.load(_EXAMPLE)
        self.assertNotIn(loaded.curve.secret_key, repr(loaded))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=200),
            strategies.text(max_size=200).map(
                lambda text: text.encode("utf-8", "surrogatepass")
            ),
        )
    )
    def test_arbitrary_bytes_are_refused_with_file_and_expected_value(
        self, data
    ):
        for fault in self.faults(data):
            self.assertEqual(int(fault.code) // 1000, 6)
            self.assertTrue(fault.file)
            self.assertTrue(fault.expected)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(strategies.data())
    def test_unusual_value_of_any_key_loads_or_is_refused(self, data):
        lines = re.findall(r"^(?:# )?[a-z_]+ = .*$", self.example, re.MULTILINE)
        line = data.draw(strategies.sampled_from(lines))
        value = data.draw(
            strategies.sampled_from(
                (
                    "1e400",
                    "-1",
                    "9" * 30,
                    "nan",
                    "1979-05-27",
                    "[[]]",
                    "{a=1}",
                    '"\\u0000"',
                    '""',
                    '"[::1]:1"',
                    "[1, 'x']",
                    "true",
                )
            )
        )
        key = line.removeprefix("# ").partition(" = ")[0]
        text = self.example.replace(line, f"{key} = {value}")
        for fault in self.faults(text):
            self.assertIn(int(fault.code) // 1000, (6,))
            self.assertTrue(fault.key or "SYNTAX" in fault.code.name, fault)


if __name__ == "__main__":
    unittest.main()
