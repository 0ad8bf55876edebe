"""Clocks of machines, shifted from outside: the time of day, and the steady clock, which stands while
a machine is suspended. The processes are started with a library that reads the shift from a file."""

import os
import struct

LIBRARY_VARIABLE, FILE_VARIABLE = "LD_PRELOAD", "MILLSTAIR_SHIFTED_CLOCK"
NANOSECONDS = 1_000_000_000


class Clocks:
    """One file a machine: what is added to its time of day and to its steady clock."""

    def __init__(self, library, folder, machines):
        self.library = library
        self._folder = folder
        self._shifts = {machine: [0.0, 0.0] for machine in machines}
        if library:
            for machine in machines:
                self._write(machine)

    def environment(self, machine):
        """Of a process of the machine."""
        variables = dict(os.environ)
        if self.library:
            variables[LIBRARY_VARIABLE] = self.library
            variables[FILE_VARIABLE] = self._path(machine)
        return variables

    def set_time_of_day(self, machine, ahead):
        """The machine's time of day is `ahead` seconds off."""
        self._shifts[machine][0] = ahead
        self._write(machine)

    def hold_steady(self, machine, seconds):
        """The machine's steady clock has stood for `seconds` more."""
        self._shifts[machine][1] -= seconds
        self._write(machine)

    def _path(self, machine):
        return os.path.join(self._folder, f"clock-{machine}")

    def _write(self, machine):
        shift = struct.pack("=qq", *(int(part * NANOSECONDS) for part in self._shifts[machine]))
        file = os.open(self._path(machine), os.O_WRONLY | os.O_CREAT, 0o600)
        os.pwrite(file, shift, 0)
        os.close(file)
