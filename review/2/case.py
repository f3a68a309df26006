"""Connections to the store go silent while servers leave."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cell as stand  # noqa: E402

CALM_S = 8.0
# Time from the removal of a server's entry until the server ends: Drain and a little.
SERVES_ON_S = 4.0
WATCHED_S = 9.0


async def run(folder):
    """Play the case; return the exit status."""
    async with stand.Cell(folder) as cell:
        if os.environ.get("KEEPALIVE") != "1":
            # The links stay silent for good, also for a keep-alive.
            cell.gate.unacked_s = cell.gate.idle_s = 3600.0
        for i in range(6):
            await cell.add_server(f"i-{i}", "job-lookup", stand.ZONES[i % 3])
        for i in range(12):
            await cell.add_server(f"o-{i}", "order-intake", stand.ZONES[i % 3])
        paths = [
            stand.route("status", "/s/", "job-lookup", "idempotent", 1200, 600, 2),
            stand.route("order", "/o/", "order-intake", "non_idempotent", 1500, 800, 1),
        ]
        cell.set_config(1, paths, ["job-lookup", "order-intake"])
        await cell.start_machines()
        for zone in stand.ZONES:
            cell.spawn(cell.traffic(zone, "GET", "/s/", 6.0, 2500))
            cell.spawn(cell.traffic(zone, "POST", "/o/", 14.0, 3000, b"x" * 1200))
        await asyncio.sleep(CALM_S)
        silent_s = cell.record.now()
        if stand.has_trouble():
            cell.gate.lose_track()
        await asyncio.sleep(0.05)
        left_s = cell.record.now()
        leaving = [cell.servers[name] for name in ("o-0", "o-1", "o-2")]
        for server in leaving:
            server.leave()
        await asyncio.sleep(SERVES_ON_S)
        for server in leaving:
            server.end()
        await asyncio.sleep(WATCHED_S - SERVES_ON_S)
        return judge(cell, leaving, silent_s, left_s)


def judge(cell, leaving, silent_s, left_s):
    """DRAIN: a request reaches a server later than Drain after the acknowledgement.

    The silence counts as a reset of the connections of all machines, so machines are in
    touch again Contact later. Only requests that were sent after that are counted.
    """
    in_touch_s = silent_s + stand.CONTACT_S if stand.has_trouble() else 0.0
    sent_s = {answer.attempt_id: answer.sent_s for answer in cell.answers}
    status = {answer.attempt_id: answer.status for answer in cell.answers}
    n_broken = n_lost = 0
    for server in leaving:
        late = [
            (arrived_s, attempt_id)
            for arrived_s, attempt_id, _, _ in server.arrivals
            if arrived_s > left_s + stand.DRAIN_S and sent_s[attempt_id] > in_touch_s
        ]
        n_broken += len(late)
        after = [f"{arrived_s - left_s:.2f}" for arrived_s, _ in late]
        failed = [i for _, i in late if status[i] != 200]
        n_lost += len(failed)
        print(
            f"{server.name}: {len(late)} requests later than Drain, s after the"
            f" acknowledgement: {' '.join(after) or 'none'}; not served: {len(failed)}"
        )
    print(f"orders sent to servers that were gone: {n_broken}, of these lost: {n_lost}")
    return 1 if n_broken else 0


if __name__ == "__main__":
    sys.exit(stand.main(run, FOLDER))
