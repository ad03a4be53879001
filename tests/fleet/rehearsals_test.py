"""Runs rehearsals of fleets with faults between the processes."""

import concurrent.futures
import os
import pathlib
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = os.environ["BRASSFRONT"]
ATTEMPTS = 3  # a rehearsal is void, and repeated, if its simulated parties were late
TIMEOUT_SECONDS = 240
PARALLEL_RUNS = 4


class FleetRehearsalsTest(unittest.TestCase):
    # The file has one name per line; bench/fleet_repeats plays the same rehearsals.
    SHORT_SET = (ROOT / "rehearsals" / "fleet-short-set.txt").read_text().split()

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def rehearse(self, name):
        for attempt in range(ATTEMPTS):
            out = self.folder / ("%s-%d" % (name, attempt))
            scenario = ROOT / "rehearsals" / (name + ".rehearsal")
            done = subprocess.run(
                [
                    PROGRAM,
                    "rehearse",
                    "run",
                    str(scenario),
                    "--quiet",
                    "--out",
                    str(out),
                ],
                capture_output=True,
                text=True,
                timeout=TIMEOUT_SECONDS,
            )
            if done.returncode != 3:  # void
                break
        return name, done.returncode, done.stdout + done.stderr

    def test_the_short_set_of_rehearsals_passes(self):
        with concurrent.futures.ThreadPoolExecutor(PARALLEL_RUNS) as pool:
            for name, status, text in pool.map(self.rehearse, self.SHORT_SET):
                self.assertEqual(status, 0, "%s\n%s" % (name, text))


if __name__ == "__main__":
    unittest.main()
