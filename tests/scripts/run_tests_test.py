"""Checks how scripts/run_tests.py counts tests and handles KNOWN-RED.txt."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

RUN_TESTS = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "run_tests.py"
PASSES, FAILS = "/bin/true", "/bin/false"


class RunTestsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def make_build(self, name, labels=None, **tests):
        """Creates a build folder whose tests are the given programs."""
        (self.folder / name).mkdir()
        lines = ["add_test(%s %s)" % test for test in tests.items()]
        for test, label in (labels or {}).items():
            lines.append(
                "set_tests_properties(%s PROPERTIES LABELS %s)" % (test, label)
            )
        (self.folder / name / "CTestTestfile.cmake").write_text("\n".join(lines))

    def run_tests(self, *options, known_red=""):
        (self.folder / "KNOWN-RED.txt").write_text(known_red)
        return subprocess.run(
            [sys.executable, RUN_TESTS, *options],
            cwd=self.folder,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def assert_ends(self, done, status, last_line):
        self.assertEqual(done.stdout.splitlines()[-1], last_line, done.stdout)
        self.assertEqual(done.returncode, status, done.stdout)

    def test_the_last_line_counts_the_tests_of_all_builds(self):
        self.make_build("plain", One=PASSES, Two=PASSES)
        self.make_build("other", One=PASSES)
        done = self.run_tests("--build", "plain", "--build", "other")
        self.assert_ends(done, 0, "3 passed, 0 failed")

    # Guards against a failure in one build being hidden by a later build that passes.
    def test_a_failed_test_of_any_build_fails_the_run(self):
        self.make_build("plain", One=PASSES, Two=FAILS)
        self.make_build("other", One=PASSES)
        done = self.run_tests("--build", "plain", "--build", "other")
        self.assert_ends(done, 1, "2 passed, 1 failed")

    # Guards against passing a run without tests.
    def test_a_build_without_tests_fails_the_run(self):
        self.make_build("plain")
        done = self.run_tests("--build", "plain")
        self.assertEqual(done.returncode, 1, done.stdout)

    def test_a_listed_test_may_fail_and_is_not_counted(self):
        self.make_build("plain", One=PASSES, Red=FAILS)
        done = self.run_tests("--build", "plain", known_red="Red: seen: issue 1\n")
        self.assertIn("test: Red failed, as KNOWN-RED.txt says", done.stdout)
        self.assert_ends(done, 0, "1 passed, 0 failed")

    # Guards against reporting a listed test as failed where a build leaves it out.
    def test_a_listed_test_that_a_build_leaves_out_is_absent_there(self):
        self.make_build("plain", One=PASSES, Red=FAILS)
        self.make_build("other", labels={"Red": "slow"}, One=PASSES, Red=FAILS)
        done = self.run_tests(
            *("--build", "plain", "--sanitizer-build", "other", "slow"),
            known_red="Red: seen: issue 1\n",
        )
        self.assertEqual(done.stdout.count("test: Red failed"), 1, done.stdout)
        self.assertEqual(done.stdout.count("is absent here"), 1, done.stdout)
        self.assert_ends(done, 0, "2 passed, 0 failed")

    # Guards against accepting a misspelt or removed test name in the list.
    def test_a_listed_test_that_no_build_has_fails_the_run(self):
        self.make_build("plain", One=PASSES)
        done = self.run_tests("--build", "plain", known_red="Reed: seen: issue 1\n")
        self.assertIn("no build has it", done.stdout)
        self.assert_ends(done, 1, "1 passed, 0 failed")

    # Guards against an entry for a manual test ("by hand") excusing a CTest test.
    def test_a_line_by_hand_is_no_test(self):
        self.make_build("plain", One=FAILS)
        line = "by hand: One: seen: issue 1\n"
        done = self.run_tests("--build", "plain", known_red=line)
        self.assert_ends(done, 1, "0 passed, 1 failed")

    def test_a_list_that_cannot_be_read_fails_the_run(self):
        self.make_build("plain", One=PASSES)
        for known_red in ("no name", "One: a\nOne: b\n", "A: 1\nB: 1\nC: 1\nD: 1\n"):
            with self.subTest(known_red=known_red):
                done = self.run_tests("--build", "plain", known_red=known_red)
                self.assertEqual(done.returncode, 1, done.stdout)
                self.assertIn("KNOWN-RED.txt has", done.stdout)


if __name__ == "__main__":
    unittest.main()
