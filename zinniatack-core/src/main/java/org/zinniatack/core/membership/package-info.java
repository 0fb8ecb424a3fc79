/**
 * Membership of the control VMs: formation of a system, joining, replacement of members
 * and recovery after the loss of a majority.
 */
@NullMarked
package org.zinniatack.core.membership;

import org.jspecify.annotations.NullMarked;
