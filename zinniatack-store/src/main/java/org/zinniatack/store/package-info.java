/**
 * The durable state of one replica in one data folder: its identity, a journal of synced
 * batches and the newest snapshot.
 */
@NullMarked
package org.zinniatack.store;

import org.jspecify.annotations.NullMarked;
