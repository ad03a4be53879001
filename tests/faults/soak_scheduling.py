"""Measures how long threads of a forwarder wait for a processor.

The times come from the kernel's scheduling statistics. They help to explain a failed
schedule; they excuse no failure.
"""

import pathlib
import threading

SAMPLE_S = 0.03
LOG_THRESHOLD_S = 0.03


def read_waits(pid):
    """Returns the seconds that each thread has waited so far, by thread id."""
    waits = {}
    for path in pathlib.Path("/proc/%d/task" % pid).glob("*/schedstat"):
        try:
            waits[path.parent.name] = int(path.read_text().split()[1]) / 1e9
        except (OSError, IndexError):
            pass  # the thread has ended
    return waits


class ProcessorWaits:
    """Calls `log` for each long wait of a thread of the process that `pid` returns."""

    def __init__(self, pid, log):
        self.pid = pid
        self.log = log
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        before = {}
        while not self.stopping.wait(SAMPLE_S):
            pid = self.pid()
            now = {} if pid is None else read_waits(pid)
            waits = [now[thread] - before.get(thread, now[thread]) for thread in now]
            if max(waits, default=0) >= LOG_THRESHOLD_S:
                self.log("a thread waited %.3f s for a processor" % max(waits))
            before = now

    def stop(self):
        self.stopping.set()
        self.thread.join()
