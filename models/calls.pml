/*
 * Calls that must run at most once: claim, send, record, release.
 *
 * One key.  Two claimants (the caller's first try and its repeat, through
 * two daemons) ask one of two owners of the key's partition.  An owner keeps
 * a copy of the record and of the head's revision; each write compares the
 * revision.  A write's answer may be lost, a claimant may pause anywhere.
 *
 * Seeded mistakes, one at a time, by -D:
 *   NO_FENCING           a write does not compare the revision
 *   CLAIM_AFTER_SEND     the call is sent before its claim is granted
 *   RETRY_ON_LOST        a call whose answer was lost is sent again
 *   NOT_RUN_ON_TAKEOVER  a claim whose claimant is late is given to another
 *   RELEASE_ANY          a release removes whichever claim is recorded
 */

#define CLAIMANTS 3
#define NOBODY 255

mtype = { none, claimed, done };
mtype = { granted, running, finished, unavailable };

/* The store. */
mtype stored = none;
byte stored_by = NOBODY;
byte revision = 0;

/* The owners' copies. */
mtype copy[2] = none;
byte copy_by[2] = NOBODY;
byte copy_revision[2] = 0;
bool is_loaded[2] = false;

/* What really happened. */
byte runs = 0;
bool sent[CLAIMANTS];
bool said_not_run[CLAIMANTS];

inline load(o) {
  copy[o] = stored; copy_by[o] = stored_by; copy_revision[o] = revision;
  is_loaded[o] = true
}

/* Writes a record; result tells 1 done, 0 refused, 2 answer lost. */
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
  /* Other owners may write here. */
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
  :: verdict == granted -> goto give_up          /* answer to the claim lost */
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
  :: atomic { runs++; assert(runs <= 1) }         /* the answer was lost */
  fi;
#endif
  /* Record the outcome: only over the own claim. */
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
  /* The claim may be in the store; it will never be sent. */
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
  /* A third try, after both. */
  run Claimant(2);
  (_nr_pr == 1)
}
