"""Tests of the closing stack."""

import asyncio
import unittest

from citronmount.service import cleanup


class CleanupStackTest(unittest.TestCase):
    """Every callback runs, and every error is told."""

    def test_all_run_last_first_and_errors_are_gathered(self) -> None:
        order = []

        def close(name: str) -> None:
            order.append(name)
            if name != "b":
                raise ValueError(name)

        async def close_later() -> None:
            order.append("later")

        async def run() -> None:
            async with cleanup.CleanupStack() as stack:
                for name in "abc":
                    stack.push(name, lambda name=name: close(name))
                stack.push("later", close_later)

        with self.assertRaises(ExceptionGroup) as caught:
            asyncio.run(run())
        self.assertEqual(["later", "c", "b", "a"], order)
        found = [str(error) for error in caught.exception.exceptions]
        self.assertEqual(["c", "a"], found)
