/**
 * The entry process: serves the HTTP interface of callers and trainers, authenticates and
 * admits requests, and sends them to targets.
 */
@NullMarked
package org.zinniatack.entry;

import org.jspecify.annotations.NullMarked;
