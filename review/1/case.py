"""An entry of another writer in the store, with a service that nobody named."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cell as stand  # noqa: E402

# The foreign entry: a service that no configuration names, "no limit" as a 32-bit
# number in Concurrency. All fields are of the type that the pages give them.
FOREIGN = {
    "Address": "127.0.0.1:9",
    "Info": {
        "Backend": "batch-export",
        "Version": "v1",
        "Zone": "ub-north",
        "Concurrency": 2147483647,
    },
    "Status": {"State": "ready", "Seq": 1, "WarmupLeft": "0ms"},
    "born": 1764892800000,
}
TIMEOUT_S = 1.2
ORDER_TIMEOUT_S = 1.5
CALM_S = 6.0
WATCHED_S = 20.0


async def run(folder):
    """Play the case; return the exit status."""
    async with stand.Cell(folder) as cell:
        for i in range(6):
            await cell.add_server(f"i-{i}", "job-lookup", stand.ZONES[i % 3])
        for i in range(6):
            await cell.add_server(f"o-{i}", "order-intake", stand.ZONES[i % 3])
        paths = [
            stand.route("status", "/s/", "job-lookup", "idempotent", 1200, 600, 2),
            stand.route("order", "/o/", "order-intake", "non_idempotent", 1500, 800, 1),
        ]
        cell.set_config(1, paths, ["job-lookup", "order-intake"])
        await cell.start_machines()
        for zone in stand.ZONES:
            cell.spawn(cell.traffic(zone, "GET", "/s/", 5.0, 2500))
            cell.spawn(cell.traffic(zone, "POST", "/o/", 2.0, 3000, b"x" * 1200))
        await asyncio.sleep(CALM_S)
        from_s = cell.record.now()
        if stand.has_trouble():
            cell.store.put("servers/batch-1", FOREIGN)
            cell.record.write("foreign entry", key="servers/batch-1")
        await asyncio.sleep(WATCHED_S)
        return judge(cell, from_s)


def judge(cell, from_s):
    """CONFIG: unanswered at the route's Timeout, and half a second later still."""
    end_s = cell.record.now()
    n_unanswered = n_late = n_served = n_sent = 0
    for answer in cell.answers:
        limit_s = ORDER_TIMEOUT_S if answer.is_order else TIMEOUT_S
        if answer.sent_s < from_s or answer.sent_s > end_s - 4.0:
            continue
        n_sent += 1
        n_served += answer.status == 200
        took_s = (answer.ended_s or end_s) - answer.sent_s
        is_answered = answer.status != 0
        if not is_answered or took_s > limit_s:
            n_unanswered += 1
            n_late += not is_answered or took_s > limit_s + 0.5
    n_running = sum(m.process.returncode is None for m in cell.machines)
    print(
        f"sent {n_sent}, served {n_served}, unanswered at the Timeout {n_unanswered},"
        f" of these without an answer 0.5 s later {n_late}, processes up {n_running}"
    )
    return 1 if n_unanswered >= 8 and n_late > 0.5 * n_unanswered else 0


if __name__ == "__main__":
    sys.exit(stand.main(run, FOLDER))
