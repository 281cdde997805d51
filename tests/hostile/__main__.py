"""Prints the peaks of a node's process before each kind of client."""

from tests.hostile import test_clients


def main():
    """Runs the cases one after the other."""
    for name, listener, client, number in test_clients.CASES:
        node = test_clients.run_load(listener, client, number)
        print(
            f"| {name} | {number} | {node.rise_bytes() >> 20} |"
            f" {node.peak_fds} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
