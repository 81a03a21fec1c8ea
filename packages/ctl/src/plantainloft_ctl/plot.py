"""Render reports as bar charts in PNG files."""

from collections.abc import Mapping
from pathlib import Path

import matplotlib as mpl

mpl.use('Agg')

from matplotlib import pyplot as plt

from plantainloft_ctl.burn import BurnRow
from plantainloft_ctl.losses import LossTable
from plantainloft_ctl.organisations import OrganisationRow

__all__ = ['plot_burn', 'plot_losses', 'plot_organisations']

WIDTH_IN = 6.0
HEIGHT_IN = 3.5
DPI = 100
# Wide enough for the time groups of a whole day.
STACKED_WIDTH_IN = 12.0
VERTICAL_LABEL_DEGREES = 90.0


def plot_burn(rows: list[BurnRow], path: Path) -> None:
    """Write a bar chart of the burn rate per service to ``path``.

    A dashed line marks burn rate 1, which consumes the error budget exactly
    over the objective's window.
    """
    figure, axes = plt.subplots(figsize=(WIDTH_IN, HEIGHT_IN), dpi=DPI)
    axes.bar([row.service for row in rows], [row.burn_rate for row in rows], color='tab:orange')
    axes.axhline(1.0, color='black', linestyle='--', linewidth=1)
    axes.set_ylabel('burn rate (1 = budget consumed over the window)')
    axes.set_title('error-budget burn rate')
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def plot_losses(table: LossTable, path: Path) -> None:
    """Write a bar chart of losses per group, stacked by reason, to ``path``."""
    _plot_stacked(
        path,
        names=[group.name.strip() for group in table.groups],
        counts_by_label={
            reason: [group.count_by_reason.get(reason, 0) for group in table.groups]
            for reason in table.reasons
        },
        unit='requests',
        title='requests not answered within their objective',
    )


def plot_organisations(rows: list[OrganisationRow], path: Path) -> None:
    """Write a bar chart of usage per organisation, stacked by instance, to ``path``."""
    instances = sorted({instance for row in rows for instance in row.used_by_instance})
    _plot_stacked(
        path,
        names=[row.name for row in rows],
        counts_by_label={
            instance: [row.used_by_instance.get(instance, 0) for row in rows]
            for instance in instances
        },
        unit='requests per window',
        title='limit usage by instance',
    )


def _plot_stacked(
    path: Path,
    *,
    names: list[str],
    counts_by_label: Mapping[str, list[int]],
    unit: str,
    title: str,
) -> None:
    """Write a chart with one bar per name, its counts stacked by label."""
    figure, axes = plt.subplots(figsize=(STACKED_WIDTH_IN, HEIGHT_IN), dpi=DPI)
    bottoms = [0 for _ in names]
    for label, counts in counts_by_label.items():
        axes.bar(names, counts, bottom=bottoms, label=label)
        bottoms = [bottom + count for bottom, count in zip(bottoms, counts, strict=True)]
    axes.set_ylabel(unit)
    axes.set_title(title)
    axes.tick_params(axis='x', labelrotation=VERTICAL_LABEL_DEGREES)
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)
