"""A call server process as operators run it: environment, configuration file, signals and exit status."""

import json
import os
import resource
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wellhitch.lab.trials.records import EventKind, Record, Records

TERM_GRACE_S = 0.7  # from SIGTERM to SIGKILL at least the longest deadline and this pass
MAX_GRACE_DEADLINE_S = 3.0  # longer deadlines do not extend the time between SIGTERM and SIGKILL


def earliest_kill_s(longest_deadline_s: float) -> float:
    """The least time between SIGTERM and SIGKILL."""
    return min(longest_deadline_s, MAX_GRACE_DEADLINE_S) + TERM_GRACE_S


@dataclass(eq=False)
class CallServer:
    """One call server and its process. `max_descriptors` is written to its configuration and set as RLIMIT_NOFILE."""

    name: str
    cell: int
    listen: str
    folder: Path
    records: Records
    settings: dict[str, Any]
    max_descriptors: int = 256
    memory_limit_mb: int = 96
    process: subprocess.Popen[bytes] | None = None
    generation: int = 0
    terminated_at: float | None = None
    peak_memory_mb: float = 0.0
    exit_codes: list[int] = field(default_factory=list)

    @property
    def running(self) -> bool:
        """Whether the process is alive."""
        return self.process is not None and self.process.poll() is None

    @property
    def log_path(self) -> Path:
        """The log file, shared by all starts of the process."""
        return self.folder / f"{self.name}.log"

    def write_configuration(
        self, discovery_address: str, known_updates: dict[str, object], seed: int
    ) -> Path:
        """Replace the configuration file atomically, as operators do."""
        configuration = {
            "name": self.name,
            "listen": self.listen,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_limit_mb, "sockets": self.max_descriptors},
            "peer_listen": "",
            "peers": [],
            "peers_all": "",
            "board": discovery_address,
            "known": known_updates,
            "settings": self.settings,
        }
        path = self.folder / f"{self.name}.json"
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(configuration))
        new_path.replace(path)
        return path

    def start(self, path: Path, now: float) -> None:
        """Start the process, with its output appended to the log file."""
        self.generation += 1
        self.terminated_at = None
        environment = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": self.listen,
            "LB_CONFIG": str(path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "wellhitch", "platform"],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        self.records.add(Record(now, EventKind.SERVER_STARTED, server=self.name))

    def _limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    def reload(self) -> None:
        """Send SIGHUP, after the configuration file was replaced."""
        if self.process is not None and self.running:
            self.process.send_signal(signal.SIGHUP)

    def pause(self) -> None:
        """Send SIGSTOP."""
        if self.process is not None and self.running:
            self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        if self.process is not None and self.running:
            self.process.send_signal(signal.SIGCONT)

    def terminate(self, now: float) -> None:
        """Send SIGTERM."""
        if self.process is not None and self.running:
            if self.terminated_at is None:
                self.terminated_at = now
                self.records.add(Record(now, EventKind.SERVER_TERMINATED, server=self.name))
            self.process.send_signal(signal.SIGTERM)

    def kill(self, now: float) -> None:
        """Send SIGKILL and wait for the process to end."""
        if self.process is not None and self.running:
            self.process.kill()
            self.process.wait()
            self.records.add(Record(now, EventKind.SERVER_KILLED, server=self.name))

    def check_process(self, now: float) -> None:
        """Record an exit other than by SIGKILL, and update the peak memory."""
        if self.process is None:
            return
        code = self.process.poll()
        if code is None:
            self.peak_memory_mb = max(self.peak_memory_mb, self._resident_mb(self.process.pid))
        elif code != -signal.SIGKILL and len(self.exit_codes) < self.generation:
            self.exit_codes.append(code)
            self.records.add(Record(now, EventKind.SERVER_ENDED, server=self.name, status=code))

    def _resident_mb(self, pid: int) -> float:
        try:
            for line in Path(f"/proc/{pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0
