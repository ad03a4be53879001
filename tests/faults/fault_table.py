"""The test's side of the fault table that fault_shim.cpp carries out."""

import errno
import mmap
import pathlib
import struct

# In the order of `Call` in fault_shim.cpp.
CALLS = (
    "open pread pwrite ftruncate rename fsync fstat socket bind listen accept connect"
    " send recv poll epoll_wait epoll_ctl epoll_create eventfd thread getsockopt"
    " setsockopt write read flock"
).split()
SHORT, KILL_BEFORE, KILL_AFTER, KILL_HALFWAY = -1, -2, -3, -4
HOLD_BEFORE, HOLD_AFTER, OBSERVE, HOLD_HALFWAY, FAKE_SUCCESS = -5, -6, -7, -8, -9
RULES = 8
RULE = struct.Struct("=iiiiqqq")
HEADER = struct.Struct("=qq")


class FaultTable:
    """Fault rules for one process, in a file mapped by the test and the process."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.path.write_bytes(bytes(HEADER.size + RULES * RULE.size))
        with self.path.open("r+b") as file:
            self.memory = mmap.mmap(file.fileno(), 0)

    def fail(self, call, error, *, times=-1, skip=0, bytes_moved=1):
        """Enables a rule and returns its number. `error`: an errno or its name, or one
        of the constants above."""
        number = next(i for i in range(RULES) if not self._rule(i)[1])
        if isinstance(error, str):
            error = getattr(errno, error)
        fields = (CALLS.index(call), 0, error, bytes_moved, times, skip, 0)
        RULE.pack_into(self.memory, self._offset(number), *fields)
        struct.pack_into("=i", self.memory, self._offset(number) + 4, 1)
        return number

    def end(self, number=None):
        """Disables one rule, or all rules."""
        for i in range(RULES) if number is None else [number]:
            struct.pack_into("=i", self.memory, self._offset(i) + 4, 0)

    def hits(self, number):
        return self._rule(number)[6]

    def step_clock(self, seconds):
        """Sets the offset of the process's wall clock from the real one, in seconds."""
        struct.pack_into("=q", self.memory, 0, int(seconds * 1e9))

    def step_monotonic_clock(self, seconds):
        """Sets the same offset for the monotonic clock, as if that time had passed."""
        struct.pack_into("=q", self.memory, 8, int(seconds * 1e9))

    def _offset(self, number):
        return HEADER.size + number * RULE.size

    def _rule(self, number):
        return RULE.unpack_from(self.memory, self._offset(number))
