/*
 * One end for each move of traffic.
 *
 * Two daemons believe to drive the move (one of them was paused), an
 * operator races them, the store may be out of reach.  A driver that cannot
 * reach the store spreads the word of taking back; the word outweighs a
 * commit and is recorded later.  Two daemons hear records and words.
 *
 * Seeded mistakes, one at a time, by -D:
 *   NO_COMPARE       an end is written without comparing the record
 *   COMMIT_LATE      a commit is written after the margin
 *   WORD_FORGOTTEN   a daemon lets a later record outweigh the word
 */

mtype = { open, committed, taken_back };

mtype record = open;
byte ends = 0;                 /* ends written over an open record */
bool word = false;             /* word of taking back is out */
bool is_late = false;          /* past the margin before the deadline */
bool is_over = false;          /* past the deadline */
bool is_down = false;

/* What two daemons heard. */
mtype heard[2] = open;
bool heard_word[2] = false;
bool ever_word[2] = false;
bool gave_new[2] = false;      /* gives traffic to the new version */

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
     /* A pause of any length. */
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
  /* The word is recorded in the end, and all daemons hear everything. */
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
