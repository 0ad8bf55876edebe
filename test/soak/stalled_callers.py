"""Callers that send a request and stop reading, and the memory of the gateways they load."""

import http.client
import re
import socket

from fleet import SERVICE, ip_of

MIB = 1024 * 1024
# The requirement on the memory of a gateway, in bytes.
PROCESS_MEMORY = 120 * 1000 * 1000
GATEWAY_SETTINGS = f"limits:\n  process_memory: {PROCESS_MEMORY // MIB}MiB\n"
SMALL_RECEIVE_BUFFER = 16 * 1024


class StalledCaller:
    """Sends a request on its own connection and reads nothing until `read`."""

    def __init__(self, machine, path, headers):
        self._socket = socket.socket()
        # Keeps the kernel from reading in the caller's place.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        self._socket.connect((ip_of(machine), SERVICE))
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        self._socket.sendall(f"GET {path} HTTP/1.1\r\n{lines}\r\n".encode())

    def read(self, limit):
        """Reads the response, each step within `limit` seconds; status and body, or None if it was
        cut."""
        self._socket.settimeout(limit)
        answer = http.client.HTTPResponse(self._socket)
        try:
            answer.begin()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            answer.close()
            self.close()

    def close(self):
        """Disconnects."""
        self._socket.close()


def peak_memory(process):
    """Largest resident memory of a process so far, in bytes; none if it has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="utf-8") as status:
            found = re.search(r"VmHWM:\s+(\d+) kB", status.read())
    except OSError:
        return None
    return int(found.group(1)) * 1024 if found else None
