/** Error codes, and findings that are collected with their place and reported together. */
package org.plantainknot.core.error;
