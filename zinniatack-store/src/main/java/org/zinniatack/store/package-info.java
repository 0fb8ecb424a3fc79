/**
 * Durable storage of one replica in one data folder: its identity, a write-ahead journal
 * of batches and the newest snapshot.
 */
@NullMarked
package org.zinniatack.store;

import org.jspecify.annotations.NullMarked;
