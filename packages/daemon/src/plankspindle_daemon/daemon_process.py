"""A daemon as a process: signals and exit status."""

from __future__ import annotations

import secrets
import signal
import socket as stdlib_socket
import traceback
from random import Random
from typing import TYPE_CHECKING

from curio import TaskGroup
from curio import socket

from plankspindle_core.invariants import InvariantError
from plankspindle_core.logs.key_value_destination import KeyValueDestination
from plankspindle_core.logs.key_value_destination import log_event
from plankspindle_daemon.daemon import Daemon

if TYPE_CHECKING:
    from plankspindle_daemon.platform_ports import PlatformPorts
    from plankspindle_daemon.settings.daemon_settings import DaemonSettings
    from plankspindle_daemon.settings.settings_file import SettingsFile

MAX_SIGNALS_PER_READ = 64
EXIT_OK = 0
EXIT_BROKEN_INVARIANT = 70
EXIT_ADDRESS_NOT_USABLE = 69


async def run_daemon(
    settings: DaemonSettings,
    ports: PlatformPorts | None = None,
    log: KeyValueDestination | None = None,
    file: SettingsFile | None = None,
) -> int:
    """Run a daemon until its planned stop is complete.

    Parameters
    ----------
    settings : DaemonSettings
        Its settings.
    ports : PlatformPorts, optional
        Interfaces to the platform; the product's own interface if not given.
    log : KeyValueDestination, optional
        Destination of the log, flushed at every tick.
    file : SettingsFile, optional
        File of the settings, read again on SIGHUP and when it has changed.

    Returns
    -------
    int
        Exit status of the process.
    """
    random = Random(secrets.randbits(128))
    daemon = Daemon(settings=settings, random=random, ports=ports, log=log, file=file)
    try:
        await daemon.start()
    except OSError as error:
        log_event("address_not_usable", error=str(error))
        await daemon.close()
        return EXIT_ADDRESS_NOT_USABLE
    try:
        async with TaskGroup(wait=any) as group:
            await group.spawn(_handle_signals, daemon)
            await group.spawn(daemon.run)
        _ = group.result
    except InvariantError as error:
        log_event("invariant_broken", error=str(error))
        return EXIT_BROKEN_INVARIANT
    except Exception as error:
        log_event("crashed", error=repr(error), trace=traceback.format_exc())
        return EXIT_BROKEN_INVARIANT
    finally:
        await daemon.close()
    return EXIT_OK


async def _handle_signals(daemon: Daemon) -> None:
    """Handle signals, whose numbers the interpreter writes to a socket."""
    reader, writer = stdlib_socket.socketpair()
    reader.setblocking(False)
    writer.setblocking(False)
    signal.set_wakeup_fd(writer.fileno())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    async with socket.fromfd(
        reader.fileno(), stdlib_socket.AF_UNIX, stdlib_socket.SOCK_STREAM
    ) as wakeups:
        while True:
            for number in await wakeups.recv(MAX_SIGNALS_PER_READ):
                if number == signal.SIGHUP:
                    daemon.reload()
                else:
                    daemon.leave("signal")
