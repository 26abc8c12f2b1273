"""One client sends requests of legal size whose heads hold many short parts, a few at a time.
Ordinary callers of the same machine are to be answered at their route's timeout."""
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "kit-3"))
from kit import *  # noqa: E402,F403

# The client's head: 2,000 fields of 4 bytes and a Connection field of 7,800 commas, together
# 16.0 KB; the config's max_header_bytes is 16,384.
FIELDS = 2000
COMMAS = 7800
AT_ONCE = 5  # each on a channel of its own
BURSTS = 4
INTERVAL = 4.5
ORDINARY_PER_SECOND = 10
SECONDS = 18
ROUTE_TIMEOUT = 1.2  # of /look/
BOUND = 0.5


def hostile_head(number, disturbs):
    text = "GET /look/many HTTP/1.1\r\n"
    for name, value in headers_of(f"{number:016x}", 2500).items():
        text += f"{name}: {value}\r\n"
    if disturbs:
        text += "Connection: " + "," * COMMAS + "\r\n" + "a:\r\n" * FIELDS
    return (text + "\r\n").encode()


async def send_long_head(cluster, node, record, number):
    head = hostile_head(0xffff0000 + number, disrupted())
    record(f"client sends a request with a head of {len(head)} bytes to {node.name}")
    begun = now()
    reader, writer = await asyncio.open_connection(node.address, cluster.front)
    writer.write(head)
    try:
        line = await asyncio.wait_for(reader.readline(), INTERVAL)
        record(f"client got {line.strip().decode()} after {now() - begun:.2f} s")
    except asyncio.TimeoutError:
        record("client got no answer")
    writer.close()


async def hostile(cluster, node, record):
    for burst in range(BURSTS):
        begun = now()
        await asyncio.gather(*[send_long_head(cluster, node, record, burst * AT_ONCE + i)
                               for i in range(AT_ONCE)])
        await asyncio.sleep(max(begun + INTERVAL - now(), 0))


async def ordinary(cluster, node, record, number, times):
    ident = f"{number:016x}"
    begun = now()
    answer = await ask(node.address, cluster.front, "GET", "/look/one", headers_of(ident, 2500),
                       timeout=8)
    times.append(now() - begun if answer.status else None)
    record(f"{ident} sent at {begun:.3f}: {answer.status or answer.error} "
           f"after {now() - begun:.3f} s")


async def poll_ready(cluster, node, record, misses):
    """The platform's question, once a second; no answer within a second is a miss."""
    while True:
        begun = now()
        answer = await ask(node.address, cluster.ready, "GET", "/ready", {"Host": "x"}, timeout=1)
        if answer.status != 200:
            misses.append(begun)
            record(f"/ready of {node.name}: {answer.status or 'no answer within 1 s'}")
        await asyncio.sleep(max(begun + 1 - now(), 0))


async def case(record):
    cluster = Cluster(3)
    cluster.servers = [Server(cluster, f"i-a{i}", "rota-app", slots=6) for i in range(4)]
    times, misses = [], []
    try:
        await cluster.start(config())
        await asyncio.sleep(1)
        node = cluster.nodes[0]
        poll = asyncio.create_task(poll_ready(cluster, node, record, misses))
        tasks = [asyncio.create_task(hostile(cluster, node, record))]
        for i in range(SECONDS * ORDINARY_PER_SECOND):
            tasks.append(asyncio.create_task(ordinary(cluster, node, record, i, times)))
            await asyncio.sleep(1 / ORDINARY_PER_SECOND)
        await asyncio.gather(*tasks)
        poll.cancel()
    finally:
        await cluster.stop()
    unanswered = [t for t in times if t is None or t > ROUTE_TIMEOUT]
    late = [t for t in unanswered if t is None or t > ROUTE_TIMEOUT + BOUND]
    record(f"ordinary requests {len(times)}, unanswered at their route's timeout "
           f"{len(unanswered)}, of these without an answer {BOUND} s later {len(late)}; "
           f"misses of /ready {len(misses)}")
    # CONFIG: eight or more, as in its other sentence on the timeout, so that no single one counts.
    return len(late) >= 8 and len(late) > len(unanswered) / 2


main(case, HERE)
