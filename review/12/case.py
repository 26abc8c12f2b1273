"""One part of prompts crashes engines. It stands behind sixteen other shared parts, as in a long
conversation. Sound requests share caller and all other parts."""
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent

sys.path.insert(0, str(HERE.parent / "kit-3"))
from kit import *  # noqa: E402,F403

PARTS = 18  # of each prompt: shared ones, and the request's own
POSITION = int(os.environ.get("POSITION", "16"))  # of the bad part, from 0
BAD = "bad0bad0"
CONTACT = 3.0  # contact_ms
SECONDS = 26
BAD_INTERVAL = 0.7
DOWN = 2.5


def prefix(number, is_bad):
    parts = [f"{0x5c1e0000 + i:x}:60" for i in range(PARTS - 1)]
    if is_bad:
        parts[POSITION] = f"{BAD}:60"
    return ",".join(parts + [f"{0x70000000 + number:x}:540"])


async def brittle_stream(server, method, target, headers, body, writer):
    if BAD not in headers.get("prefix-hash", ""):
        return await stream(server, method, target, headers, body, writer)
    await asyncio.sleep(0.05)
    server.crashes.append(now())
    server.record(f"{server.ident} crashes at request {headers.get('request-id')}, with "
                  f"{len(server.writers)} channels")
    server.crash()
    asyncio.create_task(back(server))
    return False


async def back(server):
    await asyncio.sleep(DOWN)
    server.life += 1
    await server.restart(f"{server.name}-{server.life}")
    server.record(f"{server.ident} starts")


async def case(record):
    cluster = Cluster(3)
    crashes, arrivals, results = [], [], {}
    for i in range(6):
        engine = Engine(cluster, f"i-{i}-0", "v1", events=10, record=record)
        engine.handle, engine.crashes, engine.name, engine.life = brittle_stream, crashes, \
            f"i-{i}", 0
        engine.runs = arrivals
        cluster.servers.append(engine)
    tasks = []

    async def send(number, is_bad):
        node = cluster.nodes[number % 3]
        ident = f"{0xbad if is_bad else 0x900d:04x}{number:012x}"
        more = {"Model": "m", "Token-Count": "1560,80", "Prefix-Hash": prefix(number, is_bad)}
        answer = await ask(node.address, cluster.front, "POST", "/stream/a",
                           headers_of(ident, 4000, **more), b"x" * 700, 5)
        kind = ("bad" if is_bad else "sound", answer.status if answer.complete else "broken off")
        results[kind] = results.get(kind, 0) + 1
        record(f"{ident} got {answer.status} complete={answer.complete}")

    async def all_of(is_bad, interval):
        for number in range(int(SECONDS / interval)):
            tasks.append(asyncio.create_task(send(number, is_bad)))
            await asyncio.sleep(interval)

    try:
        await cluster.start(config())
        await asyncio.sleep(1)
        loads = [all_of(False, 0.15)]
        if disrupted():
            loads.append(all_of(True, BAD_INTERVAL))
        await asyncio.gather(*loads)
        await asyncio.gather(*tasks)
    finally:
        await cluster.stop()
    bound = crashes[4] + CONTACT if len(crashes) >= 5 else None
    late = [r for r in arrivals if bound and r[0] > bound and BAD in r[2].get("prefix-hash", "")]
    record(f"results {results}")
    record(f"summary: {len(crashes)} crashes, the fifth at "
           f"{crashes[4] if bound else 0:.2f}; bad requests that reached engines more than "
           f"{CONTACT} s later: {len(late)} (more than 3 break BUDGET)")
    return len(late) > 3


main(case, HERE)
