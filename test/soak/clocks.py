"""Shifts the clocks of machines: the time of day, and the steady clock, which stops while a machine
is suspended. Processes are started with a library that reads the shifts from a file."""

import os
import struct

LIBRARY_VARIABLE, FILE_VARIABLE = "LD_PRELOAD", "MILLSTAIR_SHIFTED_CLOCK"
NANOSECONDS = 1_000_000_000


class Clocks:
    """One file per machine, with the shifts of its time of day and its steady clock."""

    def __init__(self, library, folder, machines):
        self.library = library
        self._folder = folder
        self._shifts = {machine: [0.0, 0.0] for machine in machines}
        if library:
            for machine in machines:
                self._write(machine)

    def environment(self, machine):
        """Environment variables for the processes of a machine."""
        variables = dict(os.environ)
        if self.library:
            variables[LIBRARY_VARIABLE] = self.library
            variables[FILE_VARIABLE] = self._path(machine)
        return variables

    def set_time_of_day(self, machine, ahead):
        """Shifts the machine's time of day by `ahead` seconds from the real one."""
        self._shifts[machine][0] = ahead
        self._write(machine)

    def stop_steady_clock(self, machine, seconds):
        """Sets the machine's steady clock back by `seconds`, as if it had stopped for that long."""
        self._shifts[machine][1] -= seconds
        self._write(machine)

    def _path(self, machine):
        return os.path.join(self._folder, f"clock-{machine}")

    def _write(self, machine):
        shift = struct.pack("=qq", *(int(part * NANOSECONDS) for part in self._shifts[machine]))
        file = os.open(self._path(machine), os.O_WRONLY | os.O_CREAT, 0o600)
        os.pwrite(file, shift, 0)
        os.close(file)
