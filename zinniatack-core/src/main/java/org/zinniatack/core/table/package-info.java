/**
 * The routing table: routes, pools, customers and limits that an operator replaces as a
 * whole under a rising number.
 */
@NullMarked
package org.zinniatack.core.table;

import org.jspecify.annotations.NullMarked;
