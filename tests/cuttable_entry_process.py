"""Runs an entry process whose links to the endpoints can be cut."""

import signal
import sys


def main() -> int:
    """Run the entry process until it stops; return the exit status."""
    # As in the program that it stands for, SIGHUP is blocked before the first import.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from cuttable_entry import make_links_cuttable

    from plantainloft_platform.__main__ import main as run_entry_process

    make_links_cuttable()
    return run_entry_process()


if __name__ == '__main__':
    sys.exit(main())
