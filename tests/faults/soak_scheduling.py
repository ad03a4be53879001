"""How long threads of a forwarder wait for a processor, as the system counts it.

Evidence for whoever reads a failed schedule: nothing is excused by it.
"""

import pathlib
import threading

SAMPLE_S = 0.03
LOG_THRESHOLD_S = 0.03


def read_waits(pid):
    """Seconds that each thread has waited so far, by its number."""
    waits = {}
    for path in pathlib.Path("/proc/%d/task" % pid).glob("*/schedstat"):
        try:
            waits[path.parent.name] = int(path.read_text().split()[1]) / 1e9
        except (OSError, IndexError):
            pass  # the thread has ended
    return waits


class ProcessorWaits:
    """Calls `tell` for each wait of the process that `pid` returns."""

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
