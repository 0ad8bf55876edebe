"""The ways in which trainers ask for the ends of their jobs."""

import random
import threading
import time

from history import EndAsked, now

# How long a client waits for the response, and one that leaves at once does, in seconds.
WAITS, LEAVES_AFTER = 2.5, 0.3
# Pause before the end is asked for again, and how long that goes on, in seconds.
REPEAT_PAUSE, REPEATED_FOR = 0.2, 10.0


class JobEnds:
    """Asks for ends, each in a way drawn at random and on a thread of its own, so that the trainer
    goes on meanwhile."""

    def __init__(self, gateways, history, call):
        """`call`: sends a request; takes method, path, headers, body, machine and time limit."""
        self._gateways = gateways
        self._history = history
        self._call = call
        self._ways = (self._once, self._briefly, self._until_done, self._twice)

    def begin(self, job, is_stopped, machine=None):
        """Asks for the end of a job, first at `machine`, or at a random gateway. Requests that are
        repeated end once `is_stopped()` holds."""
        if machine is None:
            machine = random.choice(self._gateways)
        threading.Thread(target=random.choice(self._ways), args=(job, machine, is_stopped),
                         daemon=True).start()

    def _ask(self, job, machine, timeout=WAITS):
        sent = now()
        status = self._call("DELETE", f"/v1/lots/{job}", {}, None, machine, timeout)[0]
        self._history.add(EndAsked(job, machine, sent, now(), status))
        return status

    def _once(self, job, machine, _):
        self._ask(job, machine)

    def _briefly(self, job, machine, _):
        self._ask(job, machine, LEAVES_AFTER)

    def _until_done(self, job, machine, is_stopped):
        until = now() + REPEATED_FOR
        while self._ask(job, machine) != 200 and now() < until and not is_stopped():
            time.sleep(REPEAT_PAUSE)
            machine = random.choice(self._gateways)

    def _twice(self, job, machine, _):
        other = random.choice([one for one in self._gateways if one != machine])
        second = threading.Thread(target=self._ask, args=(job, other), daemon=True)
        second.start()
        self._ask(job, machine)
        second.join()
