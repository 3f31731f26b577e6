import doctest
import importlib
import pkgutil
import unittest

import citronmount

_PROGRAM_MODULES = ("__main__",)


def _module_names():
    return [
        module.name
        for module in pkgutil.walk_packages(
            citronmount.__path__, f"{citronmount.__name__}."
        )
        if ".tests" not in module.name
        and not module.name.endswith(_PROGRAM_MODULES)
    ]


class DocstringExamplesTest(unittest.TestCase):
    def test_doctests_of_every_module_pass(self):
        attempted = 0
        for name in _module_names():
            with self.subTest(module=name):
                module = importlib.import_module(name)
                outcome = doctest.testmod(module)
                attempted += outcome.attempted
                self.assertEqual(outcome.failed, 0)
        self.assertGreater(attempted, 0)


if __name__ == "__main__":
    unittest.main()
