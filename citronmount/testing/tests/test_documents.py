import pathlib
import unittest

from citronmount.testing import documents

_ROOT = pathlib.Path()


class DocumentsTest(unittest.TestCase):
    def test_targets_of_relative_links_exist(self):
        paths = list(documents.markdown_files(_ROOT))
        self.assertTrue(paths)
        for path in paths:
            with self.subTest(path=path):
                self.assertEqual(documents.broken_links(path), [])

    def test_every_api_example_is_parsed(self):
        path = _ROOT / "docs" / "API.md"
        examples = list(documents.curl_examples(path))
        text = path.read_text(encoding="utf-8")
        self.assertEqual(len(examples), text.count("\n```sh\n"))
        for example in examples:
            self.assertTrue(example.url.startswith("http://$SERVER/"))


if __name__ == "__main__":
    unittest.main()
