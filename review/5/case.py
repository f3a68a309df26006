"""Requests with long queries or large cookies, which stay within MaxHeaderBytes."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import cell as stand  # noqa: E402

CALM_S = 0.5
BODY = b"x" * 1200
WATCHED_S = 15.0
# MaxHeaderBytes less a few; and a size that is far from the limit.
SIZE_BYTES = 16384 - 16 if stand.has_trouble() else 16384 - 384
# A query as of a search with many filters: over half of the limit, or a little less.
QUERY = "?q=" + "q" * (9000 if stand.has_trouble() else 7500)


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
            cell.spawn(cell.traffic(zone, "GET", "/s/", 6.0, 2500, query=QUERY))
            cell.spawn(cell.traffic(zone, "POST", "/o/", 6.0, 3000, BODY, SIZE_BYTES))
        await asyncio.sleep(CALM_S)
        await asyncio.sleep(WATCHED_S)
        return judge(cell)


def judge(cell):
    """DENIED: 4xx answers to proper requests that every configuration allows."""
    answered = [answer for answer in cell.answers if answer.ended_s is not None]
    denied = [
        answer
        for answer in answered
        if 300 <= answer.status < 500
        and answer.status not in (408, 421, 429)
        and "server-seal" not in answer.headers
    ]
    bound = 5 + len(answered) / 500
    statuses = sorted({answer.status for answer in denied})
    print(
        f"answered {len(answered)}, denied {len(denied)} (bound {bound:.1f}), of these"
        f" orders {sum(answer.is_order for answer in denied)}; statuses {statuses}"
    )
    return 1 if len(denied) > bound else 0


if __name__ == "__main__":
    sys.exit(stand.main(run, FOLDER))
