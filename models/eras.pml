/*
 * Writes and readers across returns of the store from an older copy.
 *
 * The store holds one key of the daemons, with a revision that it gives out
 * again after a return to its copy.  Two writers read the key and write it on
 * the condition that its revision is what they read; the store may execute a
 * write late.  Writers mark an era by a key of its own before their first
 * write in it, and each write requires that no later era is marked.  A reader
 * merges what it reads, also late, and at the end once more.
 *
 * Safety properties (assertions): a write replaces only the content that its
 * writer has read, and in the end the reader shows what the store says.
 *
 * Seeded mistakes, enabled one at a time by -D:
 *   NO_GUARD     writes do not require that no later era is marked
 *   NO_MARK      writers write without marking the era
 *   NUMBER_ONLY  the reader orders what it reads by revision without the era
 */

#define ERAS 3
#define WRITES 3
#define TURNS 2
#ifdef NO_GUARD
#define UNMARKED true
#else
#define UNMARKED (!marked[seen_era + 1] && !marked[seen_era + 2])
#endif

byte era = 1;
byte revision = 1;             /* counter of the store */
byte key_revision = 1;         /* of the key */
byte content = 0;              /* of the key: unique number of its write */
byte copy_counter = 1;         /* the copy to which the store can return */
byte copy_key = 1;
byte copy_content = 0;
bool marked[6];
bool copy_marked[6];
bool read_in[6];               /* whether a writer acts on what it read there */
byte written = 0;              /* writes so far */
byte shown_era = 1;            /* of the reader */
byte shown_revision = 1;
byte shown_content = 0;
byte running = 4;              /* processes that have not ended */

/* A mark is a write of its own; it takes a revision. */
#define MARK \
  atomic { \
    if \
    :: !marked[era] -> marked[era] = true; revision++ \
    :: else \
    fi \
  };

inline merge(e, r, c) {
  if
#ifdef NUMBER_ONLY
  :: r > shown_revision -> shown_era = e; shown_revision = r; shown_content = c
#else
  :: e > shown_era || (e == shown_era && r > shown_revision) ->
     shown_era = e; shown_revision = r; shown_content = c
#endif
  :: else
  fi
}

proctype Writer() {
  byte seen_era; byte seen_revision; byte seen_content; byte turns = 0;
  bool acts;
  do
  :: turns < TURNS ->
     turns++;
#ifdef MARK_LATE
     atomic {
       seen_era = era; seen_revision = key_revision; seen_content = content;
       acts = true; read_in[era] = true
     };
     MARK
#else
     MARK
     atomic {
       seen_era = era; seen_revision = key_revision; seen_content = content;
       acts = marked[era]; read_in[era] = read_in[era] || acts
     };
#endif
     /* The store executes the write, perhaps long after it was sent. */
     atomic {
       if
       :: acts && key_revision == seen_revision && written < WRITES && UNMARKED ->
          assert(content == seen_content || (era != seen_era && !read_in[era]));
          written++; revision++; key_revision = revision; content = written
       :: else
       fi
     }
  :: turns >= TURNS -> break
  od;
  running--
}

proctype Store() {
  byte number;
  do
  :: atomic {
       copy_counter = revision; copy_key = key_revision;
       copy_content = content; number = 1;
       do
       :: number <= ERAS + 1 -> copy_marked[number] = marked[number]; number++
       :: else -> break
       od
     }
  :: atomic {
       era < ERAS ->
       era++; revision = copy_counter; key_revision = copy_key;
       content = copy_content; number = 1;
       do
       :: number <= ERAS + 1 -> marked[number] = copy_marked[number]; number++
       :: else -> break
       od
     }
  :: break
  od;
  running--
}

proctype Reader() {
  byte late_era; byte late_revision; byte late_content;
  atomic {
    late_era = era; late_revision = key_revision; late_content = content
  };
  atomic {
    merge(era, key_revision, content);
    merge(late_era, late_revision, late_content);
    running--
  }
}

init {
  atomic { run Writer(); run Writer(); run Store(); run Reader() };
  (running == 0);
  atomic {
    merge(era, key_revision, content);
    assert(shown_content == content)
  }
}
