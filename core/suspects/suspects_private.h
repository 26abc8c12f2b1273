/* State shared by the files of this folder. */
#pragma once

#include "core/key_set.h"
#include "core/recent_map.h"
#include "core/suspects/suspects.h"

/* Other VMs are told of a key from this count on, so that they report complete responses. */
#define DP_SUSPECT_FAILURES_ANNOUNCED 2
/* Recent failures that a blocked key explains. */
#define DP_SUSPECT_EXPLAINED_MAX 16

typedef struct DpSuspectFailure
{
  DpName target;
  DpUsec at;
} DpSuspectFailure;

typedef struct DpSuspectRow
{
  guint count;
  DpSuspectFailure failures[DP_SUSPECT_FAILURES_MAX]; /* oldest first */
  gboolean is_blocked;
  GArray *joint; /* set that it is blocked jointly with, itself included; NULL: by itself */
  DpUsec blocked_until;
  guint trials;
  DpUsec remembered_until;
} DpSuspectRow;

struct DpSuspectTable
{
  DpSuspectOptions options;
  GHashTable *rows; /* key -> DpSuspectRow */
  DpSuspectFailure explained[DP_SUSPECT_EXPLAINED_MAX];
  guint explained_next;
  DpRecentMap *served; /* key -> DpUsec: time of the last complete response */
  GArray *ended;       /* guint64, see dp_suspects_take_ended() */
};

/* --- suspects_rows.c --- */

/* Returns NULL if the key has no row. */
DpSuspectRow *dp_suspects_find_row (const DpSuspectTable *table, guint64 key);
/* Returns NULL if the table is full. */
DpSuspectRow *dp_suspects_ensure_row (DpSuspectTable *table, guint64 key);
/* Lets keys with few failures give way to `keys`. Returns FALSE if there is no room for all of
 * these. */
gboolean dp_suspects_make_room (DpSuspectTable *table, const GArray *keys);
/* A set of a single key stands for a block by itself. */
void dp_suspects_set_joint (DpSuspectRow *row, GArray *joint);
/* Returns those of the request's keys that block it; NULL if none does. */
GArray *dp_suspects_list_blocking (const DpSuspectTable *table, const GArray *keys);
/* TRUE if the key stands for a block: for itself, or as the first of a joint one. */
gboolean dp_suspects_is_listed_block (const DpSuspectRow *row, guint64 key);
