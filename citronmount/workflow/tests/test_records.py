import unittest

from citronmount.workflow import records

# MessagePack of an unknown field with 3,000 nested arrays.
NESTED = b"\x81\xa1x" + b"\x91" * 3_000 + b"\x01"


class UnreadableRecordTest(unittest.TestCase):
    def test_deep_nesting_is_an_unreadable_record(self) -> None:
        for key in ("j/5c0e7a21d94b36f8", "u/5c0e7a21d94b36f8.0.0", "o", "w"):
            with self.assertRaises(records.UnreadableRecordError, msg=key):
                records.decode(key, NESTED)


if __name__ == "__main__":
    unittest.main()
