/** Division of each target's slots among the gateways. */
package org.plantainknot.core.share;
