/*
 * Revisions of the configuration: accepted once, never taken back.
 *
 * Two daemons hear of revisions from the store (which may be restored to an
 * older one, or be read late) and from each other; a daemon may restart and
 * begin with nothing but what it then hears.
 *
 * Seeded mistakes, one at a time, by -D:
 *   OLDER_ACCEPTED  a daemon takes any revision that differs from its own
 *   NO_COMPARE      two operators write without comparing the revision
 */

#define LAST 3

byte stored = 0;               /* revision in the store */
byte older = 0;                /* what a lagging reader or a restore shows */
byte in_force[2] = 0;
byte highest[2] = 0;           /* of this daemon, since it started */
byte author[LAST + 1] = 0;     /* who wrote a revision */
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
       /* The tool asks the daemons too, should the store be restored. */
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
     :: atomic { skip; offer(me, older) }                /* lagging reader */
     :: atomic { skip; offer(me, in_force[1 - me]) }     /* from a peer */
     fi
  :: steps >= 5 -> break
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Daemon(0); run Daemon(1) }
}
