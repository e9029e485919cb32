package org.redwinghook.core.replica;

/** Where a record of the present era's log comes from, compared with a belief of an earlier era. */
enum RecordOrigin {
    /** The log took the record over from an earlier era. */
    COPIED,
    /** The router has not seen the record in an earlier era, but not all records of that era either. */
    POSSIBLY_COPIED,
    /** The record was written after that era. */
    WRITTEN
}
