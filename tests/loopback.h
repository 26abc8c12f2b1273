/* Loopback addresses of one test process: no two that run at once share them, so that fixed
 * ports never collide. */
#pragma once

/* "127.B.C.N", B and C from the process id; `number` is 1 to 254. Static storage. */
const char *test_loopback (unsigned number);
