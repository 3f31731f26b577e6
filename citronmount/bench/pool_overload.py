"""Prints the results of replayed days of overload on a pool of workers.

python -m citronmount.bench.pool_overload --seeds 4 --workers 270 --load 1.3
"""

import statistics

import click
import msgspec

from citronmount.bench import pool_replay

__all__ = ["main"]


@click.command(context_settings={"show_default": True})
@click.option("--seeds", default=4, help="Number of days, seeds from 1 on.")
@click.option("--workers", default=270, help="Number of workers.")
@click.option("--load", default=1.3, help="Factor of the rates of arrival.")
def main(seeds: int, workers: int, load: float) -> None:
    """Replays days and prints one JSON line a day, then the mean worth."""
    results = [
        pool_replay.replay(seed, workers, load) for seed in range(1, seeds + 1)
    ]
    for result in results:
        click.echo(msgspec.json.encode(result))
    mean_worth = statistics.mean(result.worth for result in results)
    click.echo(f"mean worth {mean_worth:.4f}")


if __name__ == "__main__":
    main()
