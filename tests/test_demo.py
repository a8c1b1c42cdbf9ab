"""The project's first command, in its short form."""

import os
import pathlib
import subprocess
import sys

DEMO = pathlib.Path(__file__).parent.parent / "examples" / "demo.py"
TIME_S = 240
"""It takes 27 s beside six busy processes; its own limits on waits add up to 200 s."""


def test_short_demo_holds(tmp_path: pathlib.Path) -> None:
    # A loopback network of its own: others may run the demo at the same time.
    net = f"127.{64 + os.getpid() // 250 % 128}.{1 + os.getpid() % 250}"
    done = subprocess.run(
        [sys.executable, str(DEMO), "--short", "--net", net],
        env={**os.environ, "TMPDIR": str(tmp_path)},
        capture_output=True,
        text=True,
        timeout=TIME_S,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert "all held" in done.stdout
