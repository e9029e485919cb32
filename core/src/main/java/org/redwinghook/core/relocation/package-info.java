/** Which running generations move to other engines, in which order, before their engine leaves. */
@NullMarked
package org.redwinghook.core.relocation;

import org.jspecify.annotations.NullMarked;
