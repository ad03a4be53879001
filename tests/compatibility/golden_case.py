"""A test case that compares recorded output with stored text."""

import unittest

import golden


class GoldenCase(unittest.TestCase):
    maxDiff = None

    def check(self, name):
        """Records the named scenario and compares it with the stored text."""
        expected = golden.path_of(name).read_text()
        self.assertMultiLineEqual(golden.RECORDINGS[name](), expected)
