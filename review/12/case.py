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
SECONDS = 30
CALM = 5.0  # seconds before the first bad request
BAD_INTERVAL = 0.5
DOWN = 3.0


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
    crashes, arrivals, results, sound = [], [], {}, []
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
        sent = now()
        answer = await ask(node.address, cluster.front, "POST", "/stream/a",
                           headers_of(ident, 4000, **more), b"x" * 700, 5)
        if not is_bad:
            # It began at the first attempt if an event came.
            sound.append((sent, answer.status == 200 and b"data:" in answer.body))
        kind = ("bad" if is_bad else "sound", answer.status if answer.complete else "broken off")
        results[kind] = results.get(kind, 0) + 1
        record(f"{ident} got {answer.status} complete={answer.complete}")

    async def all_of(is_bad, interval):
        if is_bad:
            await asyncio.sleep(CALM)
        for number in range(int((SECONDS - (CALM if is_bad else 0)) / interval)):
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
    record(f"results {results}")
    if len(crashes) < 5:
        record(f"summary: {len(crashes)} crashes")
        return False
    fifth, first = crashes[4], crashes[0]
    late = [r for r in arrivals
            if r[0] > fifth + CONTACT and BAD in r[2].get("prefix-hash", "")]
    before = [began for sent, began in sound if sent < first - 1]
    after = [began for sent, began in sound if sent > fifth + 2 * CONTACT]
    record(f"summary: {len(crashes)} crashes, the fifth at {fifth:.2f}; sound requests that began: "
           f"{sum(before)} of {len(before)} before the first crash, {sum(after)} of {len(after)} "
           f"from {2 * CONTACT} s after the fifth (under half as often breaks LOST); bad requests "
           f"that reached engines more than {CONTACT} s after it: {len(late)} (BUDGET allows 3)")
    return (len(before) >= 20 and len(after) >= 20
            and sum(after) / len(after) < sum(before) / len(before) / 2)


main(case, HERE / "record.txt")
