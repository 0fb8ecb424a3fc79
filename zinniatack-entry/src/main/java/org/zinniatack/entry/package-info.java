/**
 * The entry role: the HTTP interface of callers and trainers, and the decisions on the
 * path of a request from its key to its target.
 */
@NullMarked
package org.zinniatack.entry;

import org.jspecify.annotations.NullMarked;
