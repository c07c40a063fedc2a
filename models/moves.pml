/*
 * A move of traffic to a new version ends once: committed or rolled back.
 *
 * Two drivers act on the same move, since a daemon that was paused may still
 * run as its driver, and an operator acts concurrently.  The store may be
 * unavailable.  A driver that cannot reach the store publishes a rollback
 * notice by gossip (variable "word").  The notice takes precedence over a
 * commit and is written to the record once the store is available again.
 * Two daemons receive the record and the notice.
 *
 * Safety properties (assertions): an open record is ended at most once, no
 * commit is written when less than the margin is left before the deadline, a
 * daemon that received the notice sends no traffic to the new version, and
 * finally both daemons agree and follow a published notice.
 *
 * Seeded mistakes, enabled one at a time by -D:
 *   NO_COMPARE       an end is written without comparing the record
 *   COMMIT_LATE      a commit is written within the margin before the deadline
 *   WORD_FORGOTTEN   a daemon lets a later record override the notice
 */

mtype = { open, committed, taken_back };

mtype record = open;
byte ends = 0;                 /* writes that ended an open record */
bool word = false;             /* rollback notice was published */
bool is_late = false;          /* less than the margin to the deadline */
bool is_over = false;          /* deadline passed */
bool is_down = false;          /* store is unavailable */

/* Record and notice as each of the two daemons received them. */
mtype heard[2] = open;
bool heard_word[2] = false;
bool ever_word[2] = false;
bool gave_new[2] = false;      /* sends traffic to the new version */

inline end_move(state) {
  assert(state != committed || !is_late);
  if
#ifdef NO_COMPARE
  :: true ->
     if :: record != state -> record = state; ends++ :: else fi
#else
  :: record == open -> record = state; ends++
  :: record == committed && state == taken_back && word -> record = state
  :: else
#endif
  fi
}

proctype Driver() {
  mtype seen;
  byte steps = 0;
  do
  :: steps < 2 -> steps++;
     atomic { !is_down -> seen = record };
     /* The driver may pause here for any length of time. */
     if
     :: atomic { seen == open && !is_down && !word ->       /* commit */
#ifndef COMMIT_LATE
          if :: !is_late -> end_move(committed) :: else fi
#else
          end_move(committed)
#endif
        }
     :: atomic { !is_down -> end_move(taken_back) }
     :: atomic { is_down && record != committed -> word = true }
     :: skip
     fi
  :: steps >= 2 -> break
  od
}

proctype Operator() {
  if
  :: atomic { !is_down && !is_late && !word -> end_move(committed) }
  :: atomic { !is_down -> end_move(taken_back) }
  :: skip
  fi
}

proctype Daemon(byte me) {
  byte steps = 0;
  do
  :: steps < 2 -> steps++;
     if
     :: atomic {
          heard[me] = record;
#ifdef WORD_FORGOTTEN
          heard_word[me] = false
#endif
        }
     :: atomic {
          heard_word[me] = (heard_word[me] || word);
          ever_word[me] = (ever_word[me] || word)
        }
     :: skip
     fi;
     atomic {
       if
       :: heard_word[me] || heard[me] == taken_back -> gave_new[me] = false
       :: !heard_word[me] && heard[me] == committed -> gave_new[me] = true
       :: !heard_word[me] && heard[me] == open -> gave_new[me] = !is_over
       fi;
       assert(!(ever_word[me] && gave_new[me]))
     }
  :: steps >= 2 -> break
  od
}

proctype World() {
  byte outages = 0;
  do
  :: outages < 2 -> outages++; is_down = !is_down
  :: atomic { !is_late -> is_late = true }
  :: atomic { is_late && !is_over -> is_over = true }
  :: break
  od;
  is_down = false
}

init {
  byte d = 0;
  atomic {
    run Driver(); run Driver(); run Operator(); run Daemon(0); run Daemon(1);
    run World()
  };
  (_nr_pr == 1);
  assert(ends <= 1);
  /* Finally the notice is recorded, and both daemons receive all updates. */
  atomic {
    if :: word -> end_move(taken_back) :: else fi;
    do
    :: d < 2 ->
       heard[d] = record; heard_word[d] = (heard_word[d] || word);
       gave_new[d] = (!heard_word[d] && heard[d] == committed);
       d++
    :: else -> break
    od
  };
  assert(gave_new[0] == gave_new[1]);
  assert(!(word && (gave_new[0] || gave_new[1])))
}
