/**
 * The routing table: routes, pools, customers and limits, which an operator replaces as a
 * whole under an increasing number.
 */
@NullMarked
package org.zinniatack.core.table;

import org.jspecify.annotations.NullMarked;
