"""Draw the service-level burn report as a PNG bar chart."""

from pathlib import Path

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt

from plantainloft_ctl.burn import BurnRow

__all__ = ['plot_burn']

WIDTH_IN = 6.0
HEIGHT_IN = 3.5
DPI = 100


def plot_burn(rows: list[BurnRow], path: Path) -> None:
    """Write a bar chart of burn rate per service to ``path`` (PNG).

    A dashed line marks a burn rate of 1: the budget spent exactly over
    the objective's window.
    """
    figure, axes = plt.subplots(figsize=(WIDTH_IN, HEIGHT_IN), dpi=DPI)
    axes.bar([row.service for row in rows], [row.burn_rate for row in rows], color='tab:orange')
    axes.axhline(1.0, color='black', linestyle='--', linewidth=1)
    axes.set_ylabel('burn rate (1 = budget spent on time)')
    axes.set_title('service-level burn')
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
