/*
 * At-most-once calls: claim, send, record the outcome, release the claim.
 *
 * The model covers one idempotency key.  Two claimants (the caller's first
 * attempt and its retry, received by two daemons) run concurrently, a third
 * after both.  Each claimant queries one of two owners of the key's
 * partition.  An owner caches the stored record and the revision of the
 * partition's head; each write is a compare-and-swap on that revision.  The
 * response to a write may be lost, and a claimant may pause at any step.
 *
 * Safety properties (assertions): the call runs at most once, and an
 * attempt that was reported as "not run" is never sent.
 *
 * Seeded mistakes, enabled one at a time by -D:
 *   NO_FENCING           a write does not compare the revision
 *   CLAIM_AFTER_SEND     the call is sent before its claim is granted
 *   RETRY_ON_LOST        a call whose response was lost is sent again
 *   NOT_RUN_ON_TAKEOVER  the claim of a slow claimant is given to another one
 *   RELEASE_ANY          a release removes a claim of any claimant
 */

#define CLAIMANTS 3
#define NOBODY 255

mtype = { none, claimed, done };
mtype = { granted, running, finished, unavailable };

/* State of the store: the record, its claimant and its revision. */
mtype stored = none;
byte stored_by = NOBODY;
byte revision = 0;

/* Copy of the stored state in the cache of each owner. */
mtype copy[2] = none;
byte copy_by[2] = NOBODY;
byte copy_revision[2] = 0;
bool is_loaded[2] = false;

/* Executions and responses, for the assertions only. */
byte runs = 0;
bool sent[CLAIMANTS];
bool said_not_run[CLAIMANTS];

inline load(o) {
  copy[o] = stored; copy_by[o] = stored_by; copy_revision[o] = revision;
  is_loaded[o] = true
}

/*
 * Writes a record by compare-and-swap.  result: 0 revision conflict,
 * 1 written, 2 written but the response was lost; 0 and 2 invalidate the
 * owner's copy.
 */
inline swap(o, state, who, result) {
  if
#ifdef NO_FENCING
  :: true ->
#else
  :: copy_revision[o] == revision ->
#endif
     stored = state; stored_by = who; revision = revision + 1;
     if
     :: copy[o] = state; copy_by[o] = who; copy_revision[o] = revision;
        result = 1
     :: is_loaded[o] = false; result = 2
     fi
#ifndef NO_FENCING
  :: else -> is_loaded[o] = false; result = 0
#endif
  fi
}

proctype Claimant(byte me) {
  byte owner; byte result; mtype verdict; byte tries = 0;

#ifdef CLAIM_AFTER_SEND
  atomic { runs++; sent[me] = true; assert(runs <= 1) };
#endif

  if :: owner = 0 :: owner = 1 fi;

ask:
  tries++;
  atomic {
    if
    :: !is_loaded[owner] -> load(owner)
    :: else
    fi
  };
  /* The other owner may write between the load and the claim. */
  atomic {
    if
    :: copy[owner] == none ->
       swap(owner, claimed, me, result);
       if
       :: result == 1 -> verdict = granted
       :: else -> verdict = unavailable
       fi
    :: copy[owner] == claimed && copy_by[owner] == me -> verdict = granted
    :: copy[owner] == claimed && copy_by[owner] != me ->
#ifdef NOT_RUN_ON_TAKEOVER
       if
       :: verdict = running
       :: swap(owner, claimed, me, result);
          if :: result == 1 -> verdict = granted :: else -> verdict = unavailable fi
       fi
#else
       verdict = running
#endif
    :: copy[owner] == done -> verdict = finished
    fi
  };

  if
  :: verdict == granted -> goto send
  :: verdict == granted -> goto give_up          /* claim response lost */
  :: verdict == unavailable && tries < 3 -> goto ask
  :: verdict == unavailable -> goto give_up
  :: verdict == running || verdict == finished -> goto end_claimant
  fi;

send:
#ifndef CLAIM_AFTER_SEND
  atomic {
    runs++; sent[me] = true;
    assert(runs <= 1); assert(!said_not_run[me])
  };
#endif
#ifdef RETRY_ON_LOST
  if
  :: skip
  :: atomic { runs++; assert(runs <= 1) }         /* call response lost */
  fi;
#endif
  /* Record the outcome, only if the own claim is still the stored record. */
  atomic {
    load(owner);
    if
    :: copy[owner] == claimed && copy_by[owner] == me ->
       swap(owner, done, me, result)
    :: else
    fi
  };
  goto end_claimant;

give_up:
  /* The claim may have been stored, but its call is never sent. */
  atomic { said_not_run[me] = true; assert(!sent[me]) };
  if
  :: skip
  :: atomic {
       load(owner);
       if
#ifdef RELEASE_ANY
       :: copy[owner] == claimed ->
#else
       :: copy[owner] == claimed && copy_by[owner] == me ->
#endif
          swap(owner, none, NOBODY, result)
       :: else
       fi
     }
  fi;

end_claimant:
  skip
}

init {
  atomic { run Claimant(0); run Claimant(1) };
  (_nr_pr == 1);
  /* A third attempt, after both others have ended. */
  run Claimant(2);
  (_nr_pr == 1)
}
