/*
 * Monotonic configuration revisions: a daemon never returns to an older one.
 *
 * Two daemons receive revisions from the store and from each other.  A read
 * of the store may be stale, because its reader lags or because the store was
 * restored to an older revision.  A daemon starts, or restarts, without a revision.
 * Two operators write revisions concurrently.
 *
 * Safety properties (assertions): the revision in force at a daemon never
 * decreases while it runs, and no revision is written by both operators.
 *
 * Seeded mistakes, enabled one at a time by -D:
 *   OLDER_ACCEPTED  a daemon accepts any revision that differs from its own
 *   NO_COMPARE      operators write without comparing the stored revision
 */

#define LAST 3

byte stored = 0;               /* current revision in the store */
byte older = 0;                /* seen by stale reads and after a restore */
byte in_force[2] = 0;
byte highest[2] = 0;           /* highest one in force here since the start */
byte author[LAST + 1] = 0;     /* operator that wrote a revision, 0 for none */
bool overwritten = false;

inline offer(d, number) {
  if
#ifdef OLDER_ACCEPTED
  :: number != in_force[d] && number > 0 -> in_force[d] = number
#else
  :: number > in_force[d] -> in_force[d] = number
#endif
  :: else
  fi;
  assert(in_force[d] >= highest[d]);
  highest[d] = in_force[d]
}

proctype Operator(byte me) {
  byte seen; byte known;
  do
  :: atomic {
       stored < LAST ->
       seen = stored;
       /*
        * The command-line tool also queries the daemons, since a restored
        * store may hold a revision older than those in force.
        */
       known = (in_force[0] > in_force[1] -> in_force[0] : in_force[1])
     };
     atomic {
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: stored == seen ->
#endif
          known = (known > seen -> known : seen);
          if
          :: known < LAST ->
             if
             :: author[known + 1] != 0 && author[known + 1] != me ->
                overwritten = true
             :: else
             fi;
             older = stored; stored = known + 1; author[stored] = me
          :: else
          fi
#ifndef NO_COMPARE
       :: else
#endif
       fi
     };
     assert(!overwritten)
  :: break
  od
}

proctype Daemon(byte me) {
  byte steps = 0;
  do
  :: steps < 5 -> steps++;
     if
     :: atomic { skip; offer(me, stored) }               /* watch or poll */
     :: atomic { skip; offer(me, older) }                /* stale read */
     :: atomic { skip; offer(me, in_force[1 - me]) }     /* from a peer */
     fi
  :: steps >= 5 -> break
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Daemon(0); run Daemon(1) }
}
