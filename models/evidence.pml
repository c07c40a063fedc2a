/*
 * A move is committed only on evidence, also when its driver is killed.
 *
 * Two hosts count the answers of the new version that they have seen since the
 * order.  The primary and the backup may drive the move.  A driver that begins
 * fetches the totals of the hosts that answer, then adds their reports.  The
 * primary may be killed at any time; its next life knows nothing.  One host may
 * restart and lose its totals.  The end of the move is one conditional write, whose answer
 * may be lost; then the driver reads the record before it tells the operator
 * how the move ended.
 *
 * Safety properties (assertions): a commit has the wanted number of answers
 * behind it and no bad one that its driver knows; a driver never knows more
 * answers than were given; the record ends once; what the operator is told is
 * what the record says.
 *
 * Seeded mistakes, enabled one at a time by -D:
 *   WANT_IS_PROOF    a driver that knows nothing commits
 *   COUNTED_TWICE    reports that are part of the totals are added again
 *   TOLD_UNREAD      a lost answer is taken for a success
 *   NO_COMPARE       an end is written without comparing the record
 */

#define HOSTS 2
#define WANTED 2               /* sound answers that a commit needs */
#define MOST_ANSWERS 3

mtype = { open, committed, taken_back };
mtype = { accepted, refused, lost };

mtype record = open;
byte ends = 0;                 /* writes that ended an open record */
byte given = 0;                /* sound answers that were given */
byte sound[HOSTS] = 0;         /* total of each host since it started */
bool bad[HOSTS] = false;
bit restarts[HOSTS] = 0;       /* lives of each host */

inline end_move(state, outcome) {
  if
#ifdef NO_COMPARE
  :: true ->
     if :: record != state -> record = state; ends++ :: else fi;
     outcome = accepted
#else
  :: record == open -> record = state; ends++; outcome = accepted
  :: record != open -> outcome = refused
#endif
  fi;
  /* The answer of the write may be lost. */
  if :: outcome = lost :: skip fi
}

/* Tells the operator how the move ended. */
inline tell(state) {
  assert(state == record)
}

/* One host answers a request of the new version, or restarts. */
proctype World() {
  byte answers = 0;
  byte host;
  do
  :: atomic { answers < MOST_ANSWERS -> answers++;
       if :: host = 0 :: host = 1 fi;
       if
       :: sound[host]++; given++
       :: bad[host] = true
       fi;
       host = 0
     }
  :: atomic { restarts[0] == 0 -> restarts[0] = 1;
       sound[0] = 0; bad[0] = false
     }
  :: break
  od
}

proctype Driver(byte lives) {
  byte host;
  byte known;                  /* sound answers that the driver knows */
  bool knows_bad;
  byte counted[HOSTS];         /* part of each host's total that is known */
  bit counted_life[HOSTS];     /* life of the host to which it belongs */
  mtype wanted_end;
  mtype outcome;
  do
  :: atomic { lives > 0 -> lives--;
       /* The totals of the hosts that answer. */
       do
       :: host < HOSTS ->
          counted[host] = sound[host];
          counted_life[host] = restarts[host];
          if
          :: known = known + sound[host];
             knows_bad = (knows_bad || bad[host])
#ifdef COUNTED_TWICE
             ; counted[host] = 0
#endif
          :: skip
          fi;
          host++
       :: host == HOSTS -> host = 0; break
       od
     };
     /* Later reports of the hosts, or none. */
     if
     :: atomic { true ->
          do
          :: host < HOSTS ->
             if
             :: counted_life[host] == restarts[host] ->
                known = known + (sound[host] - counted[host])
             :: else -> known = known + sound[host]
             fi;
             knows_bad = (knows_bad || bad[host]);
             host++
          :: host == HOSTS -> host = 0; break
          od
        }
     :: skip
     fi;
     assert(known <= given);
     if
     :: atomic { true ->
          if
#ifdef WANT_IS_PROOF
          :: !knows_bad -> wanted_end = committed
#else
          :: !knows_bad && known >= WANTED -> wanted_end = committed
#endif
          :: knows_bad || known < WANTED -> wanted_end = taken_back
          fi;
          end_move(wanted_end, outcome);
          assert(!(wanted_end == committed && given < WANTED))
        };
        if
        :: outcome == accepted -> tell(wanted_end)
        :: outcome == refused -> tell(record)
        :: outcome == lost ->
#ifdef TOLD_UNREAD
           tell(wanted_end)
#else
           tell(record)
#endif
        fi
     :: skip                                          /* killed before it */
     fi;
     /* The next life knows nothing. */
     atomic {
       known = 0; knows_bad = false; wanted_end = open; outcome = 0;
       counted[0] = 0; counted[1] = 0; counted_life[0] = 0; counted_life[1] = 0
     }
  :: break
  od
}

init {
  atomic { run World(); run Driver(2); run Driver(1) };
  (_nr_pr == 1);
  assert(ends <= 1)
}
