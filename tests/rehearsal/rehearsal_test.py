"""Tests of the rehearsal command: verdicts, exit statuses, reports and processes.

All times are times of a scenario; no verdict depends on the speed of the machine.
"""

import json
import os
import pathlib
import signal
import subprocess
import tempfile
import unittest
import xml.etree.ElementTree

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = os.environ["BRASSFRONT"]
BAD_FORWARDER = str(pathlib.Path(__file__).resolve().parent / "bad_forwarder.py")
TIMEOUT_S = 120
PASSED, FAILED, INVALID_SCENARIO, INVALID_RUN = 0, 1, 2, 3

BASE = """
name: "base"
duration: %(duration)s
class: {goal: 1s, deadline: 2s, effect: "%(effect)s"}
partners: [
  {name: "a", endpoints: 2, pace: 40ms, capacity: 60/s, dedup: 500ms,
   connections: 200 %(a)s},
  {name: "b", endpoints: 2, pace: 40ms, capacity: 60/s, dedup: 500ms, connections: 200},
]
clients: {rate: 30/s, clumps: 0, answer_within: 2s, retries: 0}
forwarders: {count: 1, sockets: 1024}
cold: {warm: 4s, fall: 500ms}
discovery: delay: 50ms
void: {late: 200ms, share: 20%%}
acts: [%(acts)s]
"""


def scenario(acts="", a="", duration="3s", effect="keyed"):
    return BASE % {"acts": acts, "a": a, "duration": duration, "effect": effect}


class RehearsalTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def rehearse(self, what, target, *options, bad=None):
        environment = dict(os.environ, BAD=bad or "none")
        return subprocess.run(
            [PROGRAM, "rehearse", what, str(target), *options],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            env=environment,
        )

    def file(self, text, name="s.rehearsal"):
        path = self.folder / name
        path.write_text(text)
        return path

    def play(self, text, *options, bad=None):
        """Runs a scenario; returns the exit status and the JSON report."""
        out = self.folder / "out"
        forwarder = ("--forwarder", BAD_FORWARDER) if bad is not None else ()
        done = self.rehearse(
            "run",
            self.file(text),
            "--quiet",
            "--out",
            str(out),
            *forwarder,
            *options,
            bad=bad,
        )
        self.assertIn(done.returncode, (PASSED, FAILED, INVALID_RUN), done.stderr)
        report = json.loads((out / "report.json").read_text())
        return done.returncode, report

    # ---- the auditor: each rule with a forwarder that breaks it ----

    def assert_caught(self, rule, bad, text):
        status, report = self.play(text, bad=bad)
        self.assertEqual(status, FAILED, report)
        self.assertGreater(report["rules"][rule], 0, report["rules"])
        evidence = [b for b in report["breaks"] if b["rule"] == rule]
        self.assertTrue(evidence[0]["what"])

    def test_a_forwarder_that_keeps_the_rules_passes(self):
        acts = '{at: 1s, for: 500ms, do: "shut", partner: "a", wait: 300ms},'
        acts += '{at: 1s, do: "replace", partner: "b"}'
        status, report = self.play(scenario(acts), bad="none")
        self.assertEqual(
            (status, report["metrics"]["rule_breaks"]), (PASSED, 0), report["breaks"]
        )
        self.assertGreater(report["metrics"]["delivered"], 50)

    def test_a_lost_message_is_caught(self):
        self.assert_caught("lost", "lost", scenario())

    def test_two_attempts_at_once_are_caught(self):
        self.assert_caught("overlap", "overlap", scenario())

    def test_a_second_application_is_caught(self):
        self.assert_caught("resend", "resend", scenario())

    def test_a_resend_that_the_class_forbids_is_caught(self):
        self.assert_caught("resend", "resend", scenario(effect="once"))

    def test_too_many_attempts_are_caught(self):
        acts = '{at: 0s, for: 3s, do: "full", partner: "a"}'
        self.assert_caught("attempts", "attempts", scenario(acts))

    def test_an_attempt_after_the_notice_is_caught(self):
        self.assert_caught("after-end", "after-end", scenario())

    def test_calls_to_a_removed_endpoint_are_caught(self):
        acts = '{at: 200ms, do: "replace", partner: "a", endpoint: 0}'
        self.assert_caught("drain", "drain", scenario(acts, duration="5s"))

    def test_overload_during_the_warm_up_is_caught(self):
        acts = '{at: 500ms, for: 1500ms, do: "shut", partner: "a", wait: 100ms}'
        self.assert_caught("fail-back", "fail-back", scenario(acts, duration="4s"))

    def test_a_call_during_a_wait_is_caught(self):
        acts = '{at: 500ms, for: 1500ms, do: "shut", partner: "a"}'
        self.assert_caught("wait", "wait", scenario(acts))

    def test_a_message_at_another_partner_is_caught(self):
        self.assert_caught("own", "own", scenario())

    def test_a_forwarder_that_ends_by_itself_is_caught(self):
        self.assert_caught("crash", "crash", scenario())

    # ---- the command ----

    def test_the_quick_scenario_passes_with_the_real_forwarder(self):
        out = self.folder / "out"
        done = self.rehearse(
            "run", ROOT / "rehearsals/quick.rehearsal", "--out", str(out)
        )
        self.assertEqual(done.returncode, PASSED, done.stdout + done.stderr)
        report = json.loads((out / "report.json").read_text())
        self.assertEqual(report["verdict"], "kept")
        self.assertEqual(sum(report["rules"].values()), 0)
        suite = xml.etree.ElementTree.parse(out / "junit.xml").getroot()
        self.assertEqual(suite.get("failures"), "0")
        page = (out / "report.html").read_text()
        # The page loads nothing over the network.
        self.assertNotIn("http", page.replace("http-equiv", ""))
        again = self.rehearse("report", out)
        self.assertEqual(again.stdout, (out / "report.txt").read_text())

    def zones(self, acts, more="", duration="7s"):
        text = scenario(acts, duration=duration).replace(
            "discovery: delay: 50ms", 'discovery: {by: "zones", delay: 30s}'
        )
        return text + more

    def test_endpoints_removed_by_a_name_server_get_no_more_calls(self):
        text = self.zones(
            '{at: 1s, for: 4s, do: "churn", partner: "all", wait: 400ms},'
            '{at: 2s, for: 1s, do: "name-server", fault: "quiet"},'
            '{at: 3s, do: "terminate", forwarder: 0, down: 200ms}',
            'expect: ["removals >= 8", "removed_max_ms <= 2000", "service >= 0.6"]\n',
        )
        status, report = self.play(text)
        self.assertEqual(status, PASSED, report)

    def test_a_forwarder_that_ignores_the_name_server_is_caught(self):
        text = self.zones('{at: 1s, for: 2s, do: "churn", partner: "all", wait: 200ms}')
        self.assert_caught("drain", "none", text)

    def test_an_unmet_expectation_fails_the_run(self):
        status, report = self.play(
            scenario() + 'expect: ["service >= 1.5"]\n', bad="none"
        )
        self.assertEqual(status, FAILED)
        self.assertFalse(report["expectations"][0]["kept"])

    def test_the_same_seed_gives_the_same_plan(self):
        for path in sorted((ROOT / "rehearsals").glob("*.rehearsal")):
            plans = [
                self.rehearse("plan", path, "--seed", seed).stdout
                for seed in ("7", "7", "8")
            ]
            self.assertEqual(plans[0], plans[1], path)
            self.assertNotEqual(plans[0], plans[2], path)
            self.assertGreater(plans[0].count("\n"), 50)

    def test_an_invalid_scenario_is_rejected_with_all_its_faults(self):
        bad = scenario(
            '{at: 9s, do: "kil"}, {at: 1s, do: "shut", partner: "x"}'
        ).replace("rate: 30/s", "rate: 30")
        done = self.rehearse("run", self.file(bad))
        self.assertEqual(done.returncode, INVALID_SCENARIO)
        self.assertIn('did you mean "kill"', done.stderr)
        self.assertIn("expected rate", done.stderr)
        for text, words in (
            ('{at: 9s, do: "kill"}', "after the end of the scenario"),
            ('{at: 1s, do: "shut", partner: "x"}', 'no partner "x"'),
            ('{at: 1s, do: "shut", partner: "a"}', "shut needs `for`"),
            ('{at: 1s, do: "churn", partner: "a"}', "churn needs `for`"),
            ('{at: 1s, for: 1s, do: "vanish"}', "vanish needs a partner"),
            ('{at: 1s, for: 1s, do: "name-server"}', "name-server needs a fault"),
            (
                '{at: 1s, for: 1s, do: "name-server", fault: "quiet"}',
                "needs `discovery: by:",
            ),
            ('{at: 1s, do: "kill", fault: "quiet"}', "kill takes no fault"),
            ('{at: 1s, do: "kill", forwarder: 3}', "there are 1 forwarders"),
            ('{at: 1s, do: "kill", partner: "a"}', "kill takes no partner"),
            ('{at: 1s, do: "slow", partner: "a", endpoint: 5}', "has 2 endpoints"),
        ):
            done = self.rehearse("check", self.file(scenario(text)))
            self.assertEqual(done.returncode, INVALID_SCENARIO, text)
            self.assertIn(words, done.stderr)
        for text, words in (
            ("servce >= 1", "did you mean service"),
            ("service > 1", "expected >=, <= or =="),
            ("service >= x", "expected a number"),
        ):
            done = self.rehearse(
                "check", self.file(scenario() + 'expect: ["%s"]\n' % text)
            )
            self.assertEqual(done.returncode, INVALID_SCENARIO, text)
            self.assertIn(words, done.stderr)

    def test_every_shipped_scenario_is_valid(self):
        done = self.rehearse("list", ROOT / "rehearsals")
        self.assertEqual(done.returncode, PASSED, done.stderr)
        self.assertGreaterEqual(done.stdout.count("\n"), 8)

    def test_a_program_that_does_not_start_makes_the_run_invalid(self):
        status, report = self.play(scenario(), "--forwarder", "/bin/false")
        self.assertEqual(status, INVALID_RUN)
        self.assertIn("at its start", report["void_because"])

    def test_an_interrupt_leaves_no_process_and_writes_the_report(self):
        out = self.folder / "out"
        process = subprocess.Popen(
            [
                PROGRAM,
                "rehearse",
                "run",
                self.file(scenario(duration="60s")),
                "--out",
                str(out),
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        process.stderr.readline()  # it is running once it prints its progress
        children = subprocess.run(
            ["ps", "--ppid", str(process.pid), "-o", "pid="],
            capture_output=True,
            text=True,
        ).stdout.split()
        self.assertEqual(len(children), 1)
        process.send_signal(signal.SIGINT)
        process.stderr.read()
        process.stdout.read()
        self.assertEqual(process.wait(timeout=TIMEOUT_S), INVALID_RUN)
        process.stdout.close()
        process.stderr.close()
        self.assertFalse(pathlib.Path("/proc", children[0]).exists())
        report = json.loads((out / "report.json").read_text())
        self.assertEqual(report["void_because"], "interrupted")


if __name__ == "__main__":
    unittest.main()
