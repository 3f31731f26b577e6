"""Tests of the cleanup stack."""

import asyncio
import unittest

from citronmount.service import cleanup


class CleanupStackTest(unittest.TestCase):
    """Order of the callbacks and collection of their errors."""

    def test_failed_callback_does_not_keep_others_from_running(self) -> None:
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
        messages = [str(error) for error in caught.exception.exceptions]
        self.assertEqual(["c", "a"], messages)
